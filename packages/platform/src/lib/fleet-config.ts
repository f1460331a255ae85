/** A service that may get a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share of requests in relation to the other targets' weights. */
  readonly weight: number;
}

/** Where requests go and what they may cost. */
export interface RouteConfig {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Requests may run more than once. */
  readonly idempotent: boolean;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective in milliseconds. */
  readonly objectiveMs: number;
  /** Most backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
}

/** A service of equal backend servers. */
export interface FleetService {
  readonly name: string;
  /** Each key belongs to one backend server at a time. */
  readonly partitioned: boolean;
  /** Connections that a backend server accepts from all callers together. */
  readonly maxConnections: number;
}

/** Limits of callers' connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The operator's configuration. */
export interface FleetConfig {
  readonly version: number;
  readonly routes: readonly RouteConfig[];
  readonly services: readonly FleetService[];
  readonly limits: CallerLimits;
}

/** A backend server's entry in the service registry. */
export interface ServerEntry {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly draining: boolean;
  /** Requests that it runs side by side. */
  readonly slots: number;
  /** Time for which it stays slow after its start, when the entry was written. */
  readonly warmUpMs: number;
  /** Time of day of its start in milliseconds; tells lives of one id apart. */
  readonly startedMs: number;
}
