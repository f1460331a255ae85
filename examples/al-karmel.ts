/**
 * The academy of Al-Karmel: three services in six availability zones of three regions.
 *
 *     node examples/dist/al-karmel.js | boragectl apply -
 */
import {
  type Location,
  defineService,
  printConfiguration,
  spreadServers,
} from '@boragepoint/config';

import { addressesOf } from './addresses.js';

const CONNECTIONS_PER_SERVER = 110;
const SLOTS_PER_SERVER = 2;

const LOCATIONS: [Location, ...Location[]] = [
  { availabilityZone: 'amman-a', region: 'amman' },
  { availabilityZone: 'irbid-a', region: 'irbid' },
  { availabilityZone: 'aqaba-a', region: 'aqaba' },
  { availabilityZone: 'amman-b', region: 'amman' },
  { availabilityZone: 'irbid-b', region: 'irbid' },
  { availabilityZone: 'aqaba-b', region: 'aqaba' },
];

/**
 * Maximum number of shards that balancing moves per minute. It is low because moves disrupt state
 * during enrolment.
 */
const MOVES_PER_MINUTE = 6;

function servers(idPrefix: string, serviceNumber: number, serverCount: number) {
  return spreadServers({
    idPrefix,
    addresses: addressesOf(serviceNumber, serverCount, LOCATIONS.length),
    locations: LOCATIONS,
    connections: CONNECTIONS_PER_SERVER,
    slots: SLOTS_PER_SERVER,
  });
}

/** Browsing course schedules; the key is the course. */
const timetable = defineService({
  name: 'timetable',
  shards: 128,
  key: { from: 'path', segment: 1 },
  rules: [
    {
      name: 'browse',
      method: 'GET',
      path: '/courses/*/**',
      idempotent: true,
      deadlineMs: 1_000,
      objective: { target: 0.999, withinMs: 250 },
    },
  ],
  backendServers: servers('timetable', 1, 12),
  weigh: 'churn',
  movesPerMinute: MOVES_PER_MINUTE,
});

/**
 * Issuing certificates, paying fees and looking up records; the key is the trainee. Issuing and
 * paying run at most once.
 */
const registrar = defineService({
  name: 'registrar',
  shards: 128,
  key: { from: 'path', segment: 1 },
  rules: [
    {
      name: 'issue-certificate',
      method: 'POST',
      path: '/trainees/*/certificates',
      idempotent: false,
      deadlineMs: 5_000,
      priority: 'high',
      objective: { target: 0.9995, withinMs: 2_000 },
    },
    {
      name: 'pay-fee',
      method: 'POST',
      path: '/trainees/*/payments',
      idempotent: false,
      deadlineMs: 5_000,
      priority: 'high',
      objective: { target: 0.9995, withinMs: 2_000 },
    },
    {
      name: 'look-up',
      method: 'GET',
      path: '/trainees/*/**',
      idempotent: true,
      deadlineMs: 1_500,
      objective: { target: 0.999, withinMs: 400 },
    },
  ],
  backendServers: servers('registrar', 2, 12),
  weigh: 'churn',
  movesPerMinute: MOVES_PER_MINUTE,
});

/** Fetching archived assessment transcripts, at low priority; the key is the transcript. */
const archive = defineService({
  name: 'archive',
  shards: 128,
  key: { from: 'path', segment: 1 },
  rules: [
    {
      name: 'fetch-transcript',
      method: 'GET',
      path: '/transcripts/*',
      idempotent: true,
      deadlineMs: 10_000,
      priority: 'low',
      maxAnswerBytes: 16_777_216,
      objective: { target: 0.99, withinMs: 5_000 },
    },
  ],
  backendServers: servers('archive', 3, 12),
  weigh: 'churn',
  movesPerMinute: MOVES_PER_MINUTE,
});

printConfiguration([timetable, registrar, archive]);
