import { monotonicMs, sleep } from '../clock.js';
import type { BackendNode } from '../harness/backend-node.js';
import type { RouterNode } from '../harness/router-node.js';
import { readKeepers } from '../harness/keeper-row.js';
import type { RouterOutages } from './router-outages.js';
import { pick, type CaseContext } from './fault-case.js';

/** Longer than the lease duration plus the heartbeat timeout. */
const FROZEN_MS = 2_500;
const LONG_FAULT_MS = 3_000;
const RESTART_AFTER_MS = 800;
const SHORT_FAULT_MS = 2_000;
const TABLE_DELAY_MS = 400;
const SLOW_FACTOR = 20;
const LOST_SHARE = 0.3;
const MAX_WRONG_ANSWERS = 40;
const MAX_SEED = 1_000_000;

/** Context of the payment faults. */
export interface FaultContext extends CaseContext {
  readonly outages: RouterOutages;
  /** Ids of processes that a fault uses now or has stopped for good. */
  readonly reserved: Set<string>;
  /** Routers that callers may use, including stopped ones; each has been ready. */
  readonly knownRouters: RouterNode[];
}

/** Injects one fault and ends it. */
export type PaymentFault = (ctx: FaultContext) => Promise<void>;

function reserveServer({ fleet, random, reserved }: FaultContext): BackendNode {
  const server = pick(
    fleet.backendServers.filter((it) => !reserved.has(it.id)),
    random,
  );
  reserved.add(server.id);
  return server;
}

/** Reserves an acting keeper; any unreserved router if another fault has reserved that keeper. */
async function reserveKeeper({ fleet, random, reserved }: FaultContext): Promise<RouterNode> {
  const server = pick(fleet.backendServers, random);
  const { acting } = await readKeepers(fleet.platform.address, server.id);
  const free = fleet.routers.filter((it) => !reserved.has(it.id));
  const keeper = free.find((it) => it.id === acting) ?? pick(free, random);
  reserved.add(keeper.id);
  return keeper;
}

const keeperKilled: PaymentFault = async (ctx) => {
  const keeper = await reserveKeeper(ctx);
  ctx.outages.begin(keeper.callers, monotonicMs());
  await keeper.program.kill();
  ctx.takeOutOfRotation(keeper);
  ctx.knownRouters.push(await ctx.fleet.addRouter());
};

const keeperStopped: PaymentFault = async (ctx) => {
  const keeper = await reserveKeeper(ctx);
  ctx.takeOutOfRotation(keeper);
  ctx.outages.begin(keeper.callers, monotonicMs(), true);
  await keeper.program.stop();
  ctx.knownRouters.push(await ctx.fleet.addRouter());
};

const keeperFrozen: PaymentFault = async (ctx) => {
  const keeper = await reserveKeeper(ctx);
  const outage = ctx.outages.begin(keeper.callers, monotonicMs());
  keeper.program.freeze();
  await sleep(FROZEN_MS);
  keeper.program.thaw();
  outage.to = monotonicMs();
  ctx.reserved.delete(keeper.id);
};

const ownerKilled: PaymentFault = async (ctx) => {
  const owner = reserveServer(ctx);
  await owner.kill();
  await sleep(RESTART_AFTER_MS);
  await owner.restart();
  ctx.reserved.delete(owner.id);
};

const ownerFrozen: PaymentFault = async (ctx) => {
  const owner = reserveServer(ctx);
  owner.program.freeze();
  await sleep(FROZEN_MS);
  owner.program.thaw();
  ctx.reserved.delete(owner.id);
};

const ownerSlow: PaymentFault = async (ctx) => {
  const owner = reserveServer(ctx);
  await owner.control({ slowFactor: SLOW_FACTOR });
  await sleep(SHORT_FAULT_MS);
  await owner.control({ slowFactor: 1 });
  ctx.reserved.delete(owner.id);
};

const ownerAnswersWrongly: PaymentFault = async (ctx) => {
  const owner = reserveServer(ctx);
  await owner.control({ cutNext: MAX_WRONG_ANSWERS, mislabelNext: MAX_WRONG_ANSWERS });
  await sleep(SHORT_FAULT_MS);
  await owner.control({ cutNext: 0, mislabelNext: 0 });
  ctx.reserved.delete(owner.id);
};

const tableDown: PaymentFault = async ({ fleet, random }) => {
  await fleet.controlPlatform({ down: pick(['refuse', 'silent'] as const, random) });
  await sleep(LONG_FAULT_MS);
  await fleet.controlPlatform({ down: 'no' });
};

const tableSlow: PaymentFault = async ({ fleet }) => {
  await fleet.controlPlatform({ slowMs: TABLE_DELAY_MS });
  await sleep(SHORT_FAULT_MS);
  await fleet.controlPlatform({ slowMs: 0 });
};

const tableAnswersLost: PaymentFault = async ({ fleet, random }) => {
  const seed = random.below(MAX_SEED);
  await fleet.controlPlatform({ loseShare: { probability: LOST_SHARE, seed } });
  await sleep(LONG_FAULT_MS);
  await fleet.controlPlatform({ loseShare: { probability: 0, seed } });
};

const linkCut: PaymentFault = async ({ fleet, random, reserved }) => {
  const free = fleet.routers.filter((it) => !reserved.has(it.id));
  const first = pick(free, random);
  const second = pick(
    free.filter((it) => it !== first),
    random,
  );
  fleet.links.setLinksBetween(first.id, second.id, pick(['drop', 'reset'] as const, random));
  await sleep(SHORT_FAULT_MS);
  fleet.links.setLinksBetween(first.id, second.id, 'open');
};

/** All faults; a case injects each once, in an order that depends on its seed. */
export const PAYMENT_FAULTS: readonly PaymentFault[] = [
  keeperKilled,
  keeperStopped,
  keeperFrozen,
  ownerKilled,
  ownerFrozen,
  ownerSlow,
  ownerAnswersWrongly,
  tableDown,
  tableSlow,
  tableAnswersLost,
  linkCut,
];
