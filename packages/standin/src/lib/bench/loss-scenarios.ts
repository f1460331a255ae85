import { monotonicMs, sleep } from '../clock.js';
import { KEY_NAMES, LOCATIONS } from '../demo/demo-plan.js';
import { keysServedBy, pick, type Figure } from '../faults/fault-case.js';
import type { BackendNode } from '../harness/backend-node.js';
import type { Probe } from '../load/probe.js';
import { runUnderLoad, total, type LoadedFleet } from './run-under-load.js';
import type { Scenario } from './scenario.js';

const DEFAULT_SECONDS = 12;
const MAX_UNSERVED_MS = 1_000;
const MAX_RETRY_SHARE = 0.1;
const P50 = 0.5;
const P99 = 0.99;

/** Maximum wait until all keys are served by servers that were not lost. */
const RECOVERY_TIMEOUT_MS = 12_000;
const CHECK_INTERVAL_MS = 20;

/** Induces a loss and waits until the keys are served again, or until the timeout. */
type InduceLoss = (context: LoadedFleet) => Promise<{ keys: readonly string[]; from: number }>;

async function waitForRecovery(probe: Probe, lost: readonly BackendNode[], from: number) {
  const until = monotonicMs() + RECOVERY_TIMEOUT_MS;
  const hasRecovered = () =>
    keysServedBy(probe, lost).length + probe.unservedSince(from).length === 0;
  while (!hasRecovered() && monotonicMs() < until) await sleep(CHECK_INTERVAL_MS);
}

function unservedFigures(probe: Probe, keys: readonly string[], from: number): Figure[] {
  const to = monotonicMs();
  const unserved = keys.filter((key) => probe.unservedSince(from).includes(key));
  const gaps = keys.map((key) => probe.longestGapMs(key, from, to)).sort((a, b) => a - b);
  const at = (share: number) => Math.round(gaps[Math.ceil(gaps.length * share) - 1] ?? 0);
  return [
    { name: 'keys of what was lost', value: keys.length, atLeast: 1 },
    { name: 'keys not served again', value: unserved.length, atMost: 0 },
    { name: 'unserved p50 ms', value: at(P50) },
    { name: 'unserved p99 ms', value: at(P99), atMost: MAX_UNSERVED_MS },
    { name: 'unserved max ms', value: at(1) },
  ];
}

function lossScenario(name: string, about: string, induceLoss: InduceLoss): Scenario {
  return {
    name,
    about,
    async run({ seed, seconds }, emit) {
      const act = async (context: LoadedFleet) => {
        const { keys, from } = await induceLoss(context);
        return unservedFigures(context.probe, keys, from);
      };
      const loadSeconds = seconds ?? DEFAULT_SECONDS;
      const { load, figures } = await runUnderLoad({ seed, seconds: loadSeconds, act }, emit);
      const requests = total(load, 'requests');
      const retries = (total(load, 'attempts') - requests) / requests;
      return [
        ...figures,
        { name: 'requests without an answer', value: total(load, 'lost'), atMost: 0 },
        { name: "callers' retries by request", value: retries, atMost: MAX_RETRY_SHARE },
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
    const keys = keysServedBy(probe, [owner]);
    const from = await owner.kill();
    await waitForRecovery(probe, [owner], from);
    return { keys, from };
  },
);

/** A backend server is frozen until its keys are served again, and is then resumed. */
export const freeze = lossScenario(
  'freeze',
  'unserved time for each key after a backend server stopped answering',
  async ({ fleet, probe, random }) => {
    const owner = pick(fleet.backendServers, random);
    const keys = keysServedBy(probe, [owner]);
    const from = owner.program.freeze();
    await waitForRecovery(probe, [owner], from);
    owner.program.thaw();
    return { keys, from };
  },
);

/** All routers and backend servers of one availability zone are killed. */
export const zone = lossScenario(
  'zone',
  'unserved time for each key after the loss of an availability zone',
  async ({ fleet, probe, random }) => {
    const { availabilityZone } = pick(LOCATIONS, random);
    const isLost = (it: { location: { availabilityZone: string } }) =>
      it.location.availabilityZone === availabilityZone;
    const servers = fleet.backendServers.filter(isLost);
    const from = monotonicMs();
    await Promise.all([
      ...servers.map((it) => it.kill()),
      ...fleet.routers.filter(isLost).map((it) => it.program.kill()),
    ]);
    await waitForRecovery(probe, servers, monotonicMs());
    return { keys: KEY_NAMES, from };
  },
);
