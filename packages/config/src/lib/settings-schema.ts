import * as v from 'valibot';

import { camelKeys } from './camel-keys.js';
import { exactObject } from './exact-object.js';
import { ipUrlSchema, listenAddressSchema } from './ip-address.js';
import { nameSchema, wholeNumber } from './scalars.js';

const KIB = 1_024;
const MIB = 1_024 * KIB;
const SECOND_MS = 1_000;

/** Identity of a router and its location. @internal */
export const instanceSchema = v.pipe(
  exactObject({ id: nameSchema, availability_zone: nameSchema, region: nameSchema }),
  v.transform(camelKeys),
);

const listenSchema = v.pipe(
  exactObject({
    callers: listenAddressSchema,
    operators: listenAddressSchema,
    peers: listenAddressSchema,
  }),
  v.transform(camelKeys),
);

const platformSchema = v.pipe(
  exactObject({ table: ipUrlSchema, objects: ipUrlSchema, instances: ipUrlSchema }),
  v.transform(camelKeys),
);

const operatorsSchema = v.pipe(
  exactObject({ token_file: v.pipe(v.string(), v.minLength(1, 'must name a file')) }),
  v.transform(camelKeys),
);

const limitsSchema = v.pipe(
  exactObject({
    max_header_bytes: v.optional(wholeNumber(KIB, MIB), 16 * KIB),
    max_body_bytes: v.optional(wholeNumber(1, 64 * MIB), MIB),
    max_connections: v.optional(wholeNumber(1, 1_000_000), 10_000),
    idle_timeout_ms: v.optional(wholeNumber(100, 3_600 * SECOND_MS), 60 * SECOND_MS),
  }),
  v.transform(camelKeys),
);

const logSchema = v.pipe(
  exactObject({
    level: v.optional(
      v.picklist(['error', 'warn', 'info', 'debug', 'trace'], 'must be a log level'),
      'info',
    ),
  }),
  v.transform(camelKeys),
);

const shutdownSchema = v.pipe(
  exactObject({
    notice_ms: v.optional(wholeNumber(0, 600 * SECOND_MS), SECOND_MS),
    drain_timeout_ms: v.optional(wholeNumber(0, 3_600 * SECOND_MS), 30 * SECOND_MS),
  }),
  v.transform(camelKeys),
);

/**
 * Settings of `boragepointd` as written in its TOML file. Sizes are in bytes and times in
 * milliseconds, as the names say. `[limits]`, `[log]` and `[shutdown]` are optional.
 */
export const settingsSchema = exactObject({
  instance: instanceSchema,
  listen: listenSchema,
  platform: platformSchema,
  operators: operatorsSchema,
  limits: v.optional(limitsSchema, {}),
  log: v.optional(logSchema, {}),
  shutdown: v.optional(shutdownSchema, {}),
});

/** Checked settings of `boragepointd`, with names in `camelCase`. */
export type Settings = v.InferOutput<typeof settingsSchema>;
/** Log level: the least severe level that is logged. */
export type LogLevel = Settings['log']['level'];
