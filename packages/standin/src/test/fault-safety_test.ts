import { test } from 'node:test';

import { expect } from 'earl';

import type { FaultCase } from '../lib/faults/fault-case.js';
import { keeperKilled } from '../lib/faults/keeper-cases.js';
import { ownerKilled } from '../lib/faults/owner-cases.js';
import { runCase } from '../lib/faults/run-case.js';

const SEED = 7;
const REQUESTS = 90;
const PROBE_INTERVAL_MS = 400;
/** Timeout of a whole case with its processes; the tests assert no measured times. */
const TIMEOUT_MS = 60_000;

async function checkCase(it: FaultCase) {
  const options = { seed: SEED, unchecked: false, keep: undefined };
  const smallLoad = { requests: REQUESTS, probeIntervalMs: PROBE_INTERVAL_MS };
  const { verdict, problems } = await runCase(it, { ...options, ...smallLoad });
  if (verdict === undefined) throw new Error(`the case was not checked: ${problems.join('\n')}`);
  return verdict;
}

for (const it of [ownerKilled, keeperKilled]) {
  test(
    `${it.name}: no rule is broken, every request is answered`,
    {
      timeout: TIMEOUT_MS,
    },
    async () => {
      const verdict = await checkCase(it);
      expect(verdict.violations).toEqual([]);
      expect(verdict.requests).toBeGreaterThan(0);
      expect(verdict.unanswered).toEqual(0);
    },
  );
}
