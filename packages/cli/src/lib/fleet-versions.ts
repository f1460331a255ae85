import parsePrometheus from 'parse-prometheus-text-format';

/** Configuration and settings that one router has in force, according to its metrics. */
export interface RouterVersions {
  /** URL of the router's metrics. */
  readonly router: string;
  /** Version of the configuration; absent if none is in force or the metrics cannot be read. */
  readonly configuration?: string;
  /** Time since which the configuration is in force, in seconds since 1970. */
  readonly configuredAt?: number;
  /** Digest of the settings. */
  readonly settings?: string;
  /** Time since which the settings are in force, in seconds since 1970. */
  readonly settledAt?: number;
  /** Number of settings changes that the router could not apply. */
  readonly refused?: number;
  /** Why the metrics cannot be read. */
  readonly problem?: string;
}

const CONFIGURATION_METRIC = 'boragepoint_configuration_in_force_since_seconds';
const SETTINGS_METRIC = 'boragepoint_settings_in_force_since_seconds';
const REFUSED_METRIC = 'boragepoint_settings_refused_total';

/** Reads the versions in force from the text of a router's metrics. */
export function parseRouterVersions(router: string, text: string): RouterVersions {
  const families = parsePrometheus(text);
  const metricOf = (name: string) => families.find((it) => it.name === name)?.metrics[0];
  const configuration = metricOf(CONFIGURATION_METRIC);
  const settings = metricOf(SETTINGS_METRIC);
  return {
    router,
    ...(configuration?.labels?.version !== undefined && {
      configuration: configuration.labels.version,
      configuredAt: Number(configuration.value),
    }),
    ...(settings?.labels?.digest !== undefined && {
      settings: settings.labels.digest,
      settledAt: Number(settings.value),
    }),
    refused: Number(metricOf(REFUSED_METRIC)?.value ?? 0),
  };
}

/** Versions that every router should have; an absent one means that of most routers. */
export interface WantedVersions {
  readonly configuration?: string | undefined;
  readonly settings?: string | undefined;
}

/** Returns the most frequent value, or `undefined` if no value is defined. */
function mostCommon(values: readonly (string | undefined)[]): string | undefined {
  const counts = new Map<string, number>();
  for (const it of values) if (it !== undefined) counts.set(it, (counts.get(it) ?? 0) + 1);
  return [...counts].sort(([, a], [, b]) => b - a)[0]?.[0];
}

/** Returns the routers whose versions differ from the wanted ones or cannot be read. */
export function mismatchedRouters(
  fleet: readonly RouterVersions[],
  wanted: WantedVersions,
): RouterVersions[] {
  const configuration = wanted.configuration ?? mostCommon(fleet.map((it) => it.configuration));
  const settings = wanted.settings ?? mostCommon(fleet.map((it) => it.settings));
  return fleet.filter(
    (it) =>
      it.problem !== undefined || it.configuration !== configuration || it.settings !== settings,
  );
}
