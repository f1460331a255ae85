import { sleep } from '../clock.js';
import { waitUntil } from '../harness/wait-until.js';
import { keysServedBy, pick, type CaseContext, type FaultCase, type Figure } from './fault-case.js';
import { unservedFigures, waitUntilMoved, waitUntilServed } from './unserved-time.js';

/** Time for which a server stays frozen after its keys have moved. */
const STAY_FROZEN_MS = 1_000;
const THAWED_TIMEOUT_MS = 10_000;

async function killOwner({ fleet, probe, random }: CaseContext): Promise<Figure[]> {
  const owner = pick(fleet.backendServers, random);
  const keys = keysServedBy(probe, [owner]);
  const killedAt = await owner.kill();
  await waitUntilMoved(() => keysServedBy(probe, [owner]));
  await waitUntilServed(probe, killedAt);
  return unservedFigures(probe, keys, killedAt);
}

/** The owner is killed while the store is up. */
export const ownerKilled: FaultCase = {
  name: 'owner-killed',
  guarantee: 'keys of a killed owner are served again within 1 s at p99',
  run: killOwner,
};

/** The owner is killed while the store is down. */
export const ownerKilledStoreDown: FaultCase = {
  name: 'owner-killed-store-down',
  guarantee: 'keys of a killed owner are served again within 1 s at p99 while the store is down',
  async run(context) {
    await context.fleet.controlPlatform({ down: 'refuse' });
    const figures = await killOwner(context);
    await context.fleet.controlPlatform({ down: 'no' });
    return figures;
  },
};

/** The owner is frozen, its keys move, and it is resumed. */
export const ownerFrozen: FaultCase = {
  name: 'owner-frozen',
  guarantee: 'a frozen owner serves no request for keys that have moved, after it is resumed',
  async run({ fleet, probe, random }) {
    const owner = pick(fleet.backendServers, random);
    const keys = keysServedBy(probe, [owner]);
    const frozenAt = owner.program.freeze();
    await waitUntilMoved(() => keysServedBy(probe, [owner]));
    await waitUntilServed(probe, frozenAt);
    const figures = unservedFigures(probe, keys, frozenAt);
    await sleep(STAY_FROZEN_MS);
    owner.program.thaw();
    const answers = async () => ((await owner.isAnswering()) ? true : undefined);
    await waitUntil(`${owner.id} answers`, answers, THAWED_TIMEOUT_MS);
    return figures;
  },
};

/** All processes of one availability zone are killed. */
export const zoneKilled: FaultCase = {
  name: 'zone-killed',
  guarantee: 'keys are served again within 1 s at p99 after the loss of an availability zone',
  async run({ fleet, probe, random, takeOutOfRotation }) {
    const { availabilityZone } = pick(fleet.backendServers, random).location;
    const inZone = (it: { location: { availabilityZone: string } }) =>
      it.location.availabilityZone === availabilityZone;
    const servers = fleet.backendServers.filter(inZone);
    const routers = fleet.routers.filter(inZone);
    const keys = keysServedBy(probe, servers);
    routers.forEach(takeOutOfRotation);
    const endTimes = await Promise.all([
      ...servers.map((it) => it.kill()),
      ...routers.map((it) => it.program.kill()),
    ]);
    const killedAt = Math.max(...endTimes);
    await waitUntilMoved(() => keysServedBy(probe, servers));
    await waitUntilServed(probe, killedAt);
    return unservedFigures(probe, keys, Math.min(...endTimes));
  },
};
