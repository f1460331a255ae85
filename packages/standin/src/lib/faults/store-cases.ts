import { monotonicMs, sleep } from '../clock.js';
import { attemptOutcomeOf } from '../load/load-result.js';
import type { Probe } from '../load/probe.js';
import type { FaultCase, Figure } from './fault-case.js';
import { waitUntilServed } from './unserved-time.js';

const DOWN_MS = 60_000;
const SLOW_MS = 10_000;
const SLOW_DELAY_MS = 800;
const LOST_ANSWERS_MS = 10_000;
const LOST_SHARE = 0.3;
const MIN_ANSWERED_SHARE = 0.999;

function answeredShare({ attempts }: Probe, from: number): Figure[] {
  const inSpan = attempts.filter((it) => it.at - it.latencyMs >= from);
  const answered = inSpan.filter((it) => attemptOutcomeOf(it) === 'ok');
  const value = answered.length / inSpan.length;
  return [
    { name: 'idempotent requests', value: inSpan.length, atLeast: 1 },
    { name: 'idempotent answered share', value, atLeast: MIN_ANSWERED_SHARE },
  ];
}

/** The table service is down, then slow, then loses answers to writes that took effect. */
export const storeDown: FaultCase = {
  name: 'store-down',
  guarantee: '99.9 % of idempotent requests are answered while the store is down, slow or lossy',
  mayRefuse: true,
  async run({ fleet, probe, random }) {
    const from = monotonicMs();
    await fleet.controlPlatform({ down: 'refuse' });
    await sleep(DOWN_MS);
    await fleet.controlPlatform({ down: 'no', slowMs: SLOW_DELAY_MS });
    await sleep(SLOW_MS);
    const loseShare = { probability: LOST_SHARE, seed: random.below(DOWN_MS) };
    await fleet.controlPlatform({ slowMs: 0, loseShare });
    await sleep(LOST_ANSWERS_MS);
    await fleet.controlPlatform({ loseShare: { probability: 0, seed: 0 } });
    await waitUntilServed(probe, monotonicMs());
    return answeredShare(probe, from);
  },
};
