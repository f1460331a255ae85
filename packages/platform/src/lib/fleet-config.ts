/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the route's requests, relative to the weights of its other targets. */
  readonly weight: number;
}

/** Which services a route's requests go to, and the limits that apply to them. */
export interface RouteConfig {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** True if running a request more than once is safe. */
  readonly idempotent: boolean;
  /** Maximum time for which a caller waits for an answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective in milliseconds. */
  readonly objectiveMs: number;
  /** Maximum number of backend servers to which one request is sent. */
  readonly maxAttempts: number;
  /** Priority of the route's requests; 0 is the highest. */
  readonly priority: number;
  /** Regions whose backend servers may run the route's requests; empty if all may. */
  readonly allowedRegions: readonly string[];
  /** True if bodies are expected to be large. */
  readonly hasLargeBodies: boolean;
  readonly targets: readonly RouteTarget[];
}

/** Rate at which a cold backend server takes requests, from all routers together. */
export interface WarmUpLimit {
  /** Time for which a server is cold after its start, in milliseconds. */
  readonly durationMs: number;
  /** Requests per second. */
  readonly perS: number;
}

/** A service, run by interchangeable backend servers. */
export interface FleetService {
  readonly name: string;
  /** True if each key is owned by one backend server at a time. */
  readonly partitioned: boolean;
  /** Maximum number of connections that one backend server accepts, over all its clients. */
  readonly maxConnections: number;
  /** `undefined` if cold servers take any rate. */
  readonly warmUp: WarmUpLimit | undefined;
}

/** Limits of the connections from callers. */
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
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  /**
   * Remaining warm-up time when the entry was written, in milliseconds; the server is slow until
   * then.
   */
  readonly warmUpMs: number;
  /** Wall-clock time of its start, in milliseconds; tells incarnations of one id apart. */
  readonly startedMs: number;
  /** Number of the heartbeat within the incarnation; 0 if the entry has none. */
  readonly heartbeat: number;
}
