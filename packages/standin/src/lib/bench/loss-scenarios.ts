import { monotonicMs } from '../clock.js';
import { KEY_NAMES, PLACES } from '../demo/demo-plan.js';
import { keysOf, pick, type Figure } from '../faults/fault-case.js';
import { waitUntilMoved, waitUntilServed } from '../faults/unserved-time.js';
import type { Probe } from '../load/probe.js';
import { runUnderLoad, total, type LoadedFleet } from './run-under-load.js';
import type { Scenario } from './scenario.js';

const DEFAULT_SECONDS = 12;
const SERVED_AGAIN_MS = 1_000;
const MOST_RETRIES = 0.1;
const P50 = 0.5;
const P99 = 0.99;

/** Brings a loss about and waits until the keys are served again. */
type Loss = (context: LoadedFleet) => Promise<{ keys: readonly string[]; from: number }>;

function unservedFigures(probe: Probe, keys: readonly string[], from: number): Figure[] {
  const to = monotonicMs();
  const gaps = keys.map((key) => probe.longestGapMs(key, from, to)).sort((a, b) => a - b);
  const at = (share: number) => Math.round(gaps[Math.ceil(gaps.length * share) - 1] ?? 0);
  return [
    { name: 'keys of what was lost', value: keys.length, atLeast: 1 },
    { name: 'unserved p50 ms', value: at(P50) },
    { name: 'unserved p99 ms', value: at(P99), atMost: SERVED_AGAIN_MS },
    { name: 'unserved max ms', value: at(1) },
  ];
}

function lossScenario(name: string, about: string, lose: Loss): Scenario {
  return {
    name,
    about,
    async run({ seed, seconds }, emit) {
      const bring = async (context: LoadedFleet) => {
        const { keys, from } = await lose(context);
        return unservedFigures(context.probe, keys, from);
      };
      const span = seconds ?? DEFAULT_SECONDS;
      const { load, figures } = await runUnderLoad({ seed, seconds: span, bring }, emit);
      const requests = total(load, 'requests');
      const retries = (total(load, 'attempts') - requests) / requests;
      return [
        ...figures,
        { name: 'requests without an answer', value: total(load, 'lost'), atMost: 0 },
        { name: "callers' retries by request", value: retries, atMost: MOST_RETRIES },
      ];
    },
  };
}

/** A backend server is killed. */
export const crash = lossScenario(
  'crash',
  'unserved time for each key after a backend server was killed',
  async ({ fleet, probe, random }) => {
    const owner = pick(fleet.backendServers, random);
    const keys = keysOf(probe, [owner]);
    const from = await owner.kill();
    await waitUntilMoved(() => keysOf(probe, [owner]));
    await waitUntilServed(probe, from);
    return { keys, from };
  },
);

/** A backend server stops for a while and goes on. */
export const freeze = lossScenario(
  'freeze',
  'unserved time for each key after a backend server stopped answering',
  async ({ fleet, probe, random }) => {
    const owner = pick(fleet.backendServers, random);
    const keys = keysOf(probe, [owner]);
    const from = owner.program.freeze();
    await waitUntilMoved(() => keysOf(probe, [owner]));
    await waitUntilServed(probe, from);
    owner.program.thaw();
    return { keys, from };
  },
);

/** All routers and backend servers of one availability zone are killed. */
export const zone = lossScenario(
  'zone',
  'unserved time for each key after the loss of an availability zone',
  async ({ fleet, probe, random }) => {
    const { availabilityZone } = pick(PLACES, random);
    const isLost = (it: { place: { availabilityZone: string } }) =>
      it.place.availabilityZone === availabilityZone;
    const servers = fleet.backendServers.filter(isLost);
    const from = monotonicMs();
    await Promise.all([
      ...servers.map((it) => it.kill()),
      ...fleet.routers.filter(isLost).map((it) => it.program.kill()),
    ]);
    await waitUntilMoved(() => keysOf(probe, servers));
    await waitUntilServed(probe, monotonicMs());
    return { keys: KEY_NAMES, from };
  },
);
