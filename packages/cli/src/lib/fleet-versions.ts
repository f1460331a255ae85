import parsePrometheus from 'parse-prometheus-text-format';

/** What one router has in force, by its metrics. */
export interface RouterVersions {
  readonly router: string;
  /** Missing from a router that has none, or that gave no answer. */
  readonly configuration?: string;
  /** Time of day in seconds. */
  readonly configuredAt?: number;
  readonly settings?: string;
  readonly settledAt?: number;
  /** Changed settings that the router could not use. */
  readonly refused?: number;
  /** Why nothing is known of it. */
  readonly problem?: string;
}

const CONFIGURATION_METRIC = 'boragepoint_configuration_in_force_since_seconds';
const SETTINGS_METRIC = 'boragepoint_settings_in_force_since_seconds';
const REFUSED_METRIC = 'boragepoint_settings_refused_total';

/** Reads what a router has in force from the text of its metrics. */
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

/** What a fleet is to have; what is missing is whatever most routers have. */
export interface WantedVersions {
  readonly configuration?: string | undefined;
  readonly settings?: string | undefined;
}

/** The value that most routers have; `undefined` if none has any. */
function mostCommon(values: readonly (string | undefined)[]): string | undefined {
  const counts = new Map<string, number>();
  for (const it of values) if (it !== undefined) counts.set(it, (counts.get(it) ?? 0) + 1);
  return [...counts].sort(([, a], [, b]) => b - a)[0]?.[0];
}

/** Routers that don't have what is wanted, or what most of them have. */
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
