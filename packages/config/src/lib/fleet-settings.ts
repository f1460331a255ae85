import { type Result, err, ok } from 'neverthrow';
import * as v from 'valibot';

import { camelKeys } from './camel-keys.js';
import { exactObject } from './exact-object.js';
import { listenAddressSchema } from './ip-address.js';
import { formatPath, keysOf, messageOf } from './problem.js';
import { wholeNumber } from './scalars.js';
import { instanceSchema } from './settings-schema.js';
import { SettingsError, parseToml } from './settings.js';

const HOUR_MS = 3_600_000;
const MAX_COUNT = 1_000_000;

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
    ratio: v.pipe(v.number(), v.minValue(0, 'must not be negative')),
    slack: v.pipe(v.number(), v.minValue(0, 'must not be negative')),
    window_ms: wholeNumber(1, HOUR_MS),
  }),
  v.transform(camelKeys),
);

/**
 * Settings of a router on a platform with a row store, as they stand in its TOML file. Times are in
 * milliseconds. `retries` bounds what all routers send again together: `ratio` of the requests and
 * `slack` besides, in each window.
 */
export const fleetSettingsSchema = exactObject({
  instance: instanceSchema,
  /** Region of each availability zone. */
  regions: v.record(v.string(), v.string()),
  listen: listenSchema,
  store: exactObject({ address: listenAddressSchema }),
  shutdown: v.pipe(exactObject({ grace_ms: wholeNumber(0, HOUR_MS) }), v.transform(camelKeys)),
  /** `notice_ms`: how long a backend server that drains still takes requests. */
  drain: v.pipe(exactObject({ notice_ms: wholeNumber(0, HOUR_MS) }), v.transform(camelKeys)),
  retries: retriesSchema,
  limits: v.pipe(exactObject({ memory_mb: wholeNumber(1, MAX_COUNT) }), v.transform(camelKeys)),
});

/** Checked settings of a router on a platform with a row store, names in `camelCase`. */
export type FleetSettings = v.InferOutput<typeof fleetSettingsSchema>;

/** Reads these settings from TOML text; all mistakes are reported together. */
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
