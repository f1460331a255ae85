import { sleep } from '../clock.js';
import type { RouterNode } from '../harness/router-node.js';
import { readKeepers } from '../harness/keeper-row.js';
import { waitUntil } from '../harness/wait-until.js';
import { keysServedBy, pick, type CaseContext, type FaultCase } from './fault-case.js';
import { unservedFigures, waitUntilServed } from './unserved-time.js';

/** Longer than the lease duration plus the heartbeat timeout. */
const FROZEN_MS = 3_000;
/** Time after the fault for which the keys are observed. */
const OBSERVATION_MS = 3_000;
const REPLACED_TIMEOUT_MS = 20_000;

/** Picks a backend server and finds its acting keeper and its keys. */
export async function pickKeeper({ fleet, probe, random }: CaseContext) {
  const server = pick(fleet.backendServers, random);
  const { acting } = await readKeepers(fleet.platform.address, server.id);
  const keeper = fleet.routers.find((it) => it.id === acting);
  if (keeper === undefined) throw new Error(`${acting} is not a router of this fleet`);
  return { server, keeper, keys: keysServedBy(probe, [server]) };
}

async function waitUntilReplaced(context: CaseContext, server: string, keeper: RouterNode) {
  const { address } = context.fleet.platform;
  const replaced = async () => {
    const { acting } = await readKeepers(address, server);
    return acting === keeper.id ? undefined : true;
  };
  await waitUntil(`another keeper of ${server}`, replaced, REPLACED_TIMEOUT_MS);
}

/** The acting keeper of a backend server is killed. */
export const keeperKilled: FaultCase = {
  name: 'keeper-killed',
  guarantee: 'no key is unserved for over 1 s when a keeper is killed',
  async run(context) {
    const { server, keeper, keys } = await pickKeeper(context);
    context.takeOutOfRotation(keeper);
    const killedAt = await keeper.program.kill();
    await waitUntilReplaced(context, server.id, keeper);
    await sleep(OBSERVATION_MS);
    await waitUntilServed(context.probe, killedAt);
    return unservedFigures(context.probe, keys, killedAt);
  },
};

/** The acting keeper of a backend server is frozen, replaced by another router, and resumed. */
export const keeperFrozen: FaultCase = {
  name: 'keeper-frozen',
  guarantee:
    'no key is unserved for over 1 s when a keeper freezes, and it extends no lease once resumed',
  async run(context) {
    const { server, keeper, keys } = await pickKeeper(context);
    context.takeOutOfRotation(keeper);
    const frozenAt = keeper.program.freeze();
    await waitUntilReplaced(context, server.id, keeper);
    await sleep(FROZEN_MS);
    keeper.program.thaw();
    await keeper.waitUntilReady();
    context.returnToRotation(keeper);
    await sleep(OBSERVATION_MS);
    await waitUntilServed(context.probe, frozenAt);
    return unservedFigures(context.probe, keys, frozenAt);
  },
};
