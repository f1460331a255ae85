import { type Result, err, ok } from 'neverthrow';
import * as v from 'valibot';

import { camelKeys } from './camel-keys.js';
import { exactObject } from './exact-object.js';
import { listenAddressSchema } from './ip-address.js';
import { formatPath, keysOf, messageOf } from './problem.js';
import { instanceSchema } from './settings-schema.js';
import { SettingsError, parseToml } from './settings.js';

const SECOND_MS = 1_000;

const notNegative = v.pipe(v.number('must be a number'), v.minValue(0, 'must not be negative'));

const listenSchema = v.pipe(
  exactObject({
    callers: listenAddressSchema,
    readiness: listenAddressSchema,
    peers: listenAddressSchema,
    metrics: v.optional(listenAddressSchema),
  }),
  v.transform(camelKeys),
);

const retriesSchema = v.pipe(
  exactObject({
    ratio: v.optional(notNegative, 0.1),
    slack: v.optional(notNegative, 0),
    window_s: v.optional(notNegative, 10),
  }),
  v.transform(({ ratio, slack, window_s: windowS }) => ({
    ratio,
    slack,
    windowMs: windowS * SECOND_MS,
  })),
);

const shutdownSchema = v.pipe(
  exactObject({ grace_s: v.optional(notNegative, 5) }),
  v.transform(({ grace_s: graceS }) => ({ graceMs: graceS * SECOND_MS })),
);

const processorSchema = v.pipe(
  exactObject({
    share: v.optional(notNegative, 1),
    speed: v.optional(notNegative, 1),
  }),
  v.transform(({ share, speed }) => ({ capacity: share * speed })),
);

const memorySchema = v.pipe(
  exactObject({
    instance_mb: v.optional(
      v.pipe(v.number('must be a number'), v.minValue(1, 'must be at least 1')),
    ),
  }),
  v.transform(({ instance_mb: instanceMb }) => ({ instanceMb })),
);

const drainSchema = v.pipe(
  exactObject({ notice_ms: v.optional(notNegative, 2_000) }),
  v.transform(camelKeys),
);

/** Above the usual interval, as a missing value must not make servers seem alive. */
const DEFAULT_HEARTBEAT_MS = 3_000;

const registrySchema = v.pipe(
  exactObject({ heartbeat_ms: v.optional(notNegative, DEFAULT_HEARTBEAT_MS) }),
  v.transform(camelKeys),
);

const distanceSchema = exactObject({
  zone: v.optional(notNegative, 0.1),
  region: v.optional(notNegative, 0.5),
});

/**
 * Settings of a router on a platform with a row store, as written in its TOML file. Names of times
 * end with their unit. `[processor]`, `[shutdown]`, `[drain]`, `[registry]`, `[retries]` and `[distance]` are
 * optional. `processor` is the share of a core that the instance gives a process, and the relative
 * speed of its cores. `retries` limits the retries of all routers together: in each window, `ratio`
 * of the requests plus `slack` retries.
 */
export const fleetSettingsSchema = exactObject({
  instance: instanceSchema,
  /** Region of each availability zone. */
  regions: v.record(v.string(), v.string()),
  listen: listenSchema,
  processor: v.optional(processorSchema, {}),
  /** `instance_mb`: memory of the instance in MB, from which the budget of clients follows. */
  memory: v.optional(memorySchema, {}),
  store: exactObject({ address: listenAddressSchema }),
  /** `grace_s`: time limit of a shutdown, within which open requests are finished. */
  shutdown: v.optional(shutdownSchema, {}),
  /** `notice_ms`: time for which a draining backend server still accepts requests. */
  drain: v.optional(drainSchema, {}),
  /** `heartbeat_ms`: interval at which backend servers renew their entries in the registry. */
  registry: v.optional(registrySchema, {}),
  retries: v.optional(retriesSchema, {}),
  /**
   * How much sooner a backend server must answer to be preferred although it is in another
   * availability zone of the region (`zone`) or in another region (`region`). The values are
   * fractions of the latency objective.
   */
  distance: v.optional(distanceSchema, {}),
});

/** Checked settings of a router on a platform with a row store, names in `camelCase`. */
export type FleetSettings = v.InferOutput<typeof fleetSettingsSchema>;

/** Reads these settings from TOML text; all problems are reported together. */
export function loadFleetSettings(tomlText: string): Result<FleetSettings, SettingsError> {
  return parseToml(tomlText).andThen((document) => {
    const parsed = v.safeParse(fleetSettingsSchema, document);
    if (parsed.success) return ok(parsed.output);
    const problems = parsed.issues.map((issue) => ({
      path: formatPath(keysOf(issue)),
      message: messageOf(issue),
    }));
    return err(new SettingsError(problems));
  });
}
