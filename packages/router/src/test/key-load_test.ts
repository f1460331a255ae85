import { test } from 'node:test';

import { expect } from 'earl';

import { createKeyLoad } from '../lib/key-load.js';
import { createServerLoad } from '../lib/server-load.js';
import type { ServerPool } from '../lib/server-pool.js';

// Guards against the queue of a server that warms up, or only sheds requests, of which the leader
// never learns: latencies are not measured then.
test('a server whose answers told only its load is reported', () => {
  const loads = { idle: createServerLoad(2), cold: createServerLoad(2) };
  loads.cold.recordReport(0, { running: 2, waiting: 4, slots: 2, slowdown: 1 });
  const servers = Object.entries(loads).map(([id, load]) => ({ entry: { id }, load }));
  const pool = { ofService: () => servers } as unknown as ServerPool;
  const [report] = createKeyLoad(() => pool).take(['s']);
  expect(report?.servers.map((it) => [it.server, it.queuedPerSlot])).toEqual([['cold', 2]]);
});
