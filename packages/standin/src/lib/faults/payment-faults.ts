import { monotonicMs, sleep } from '../clock.js';
import type { BackendNode } from '../harness/backend-node.js';
import type { RouterNode } from '../harness/router-node.js';
import { readKeepers } from '../harness/table-view.js';
import type { Absences } from './absences.js';
import { pick, type CaseContext } from './fault-case.js';

/** Longer than a lease and the heartbeat timeout together. */
const FROZEN_MS = 2_500;
const DOWN_MS = 3_000;
const RESTART_AFTER_MS = 800;
const SLOW_MS = 2_000;
const TABLE_DELAY_MS = 400;
const SLOW_FACTOR = 20;
const LOST_SHARE = 0.3;
const WRONG_ANSWERS = 40;
const MAX_SEED = 1_000_000;

/** What the faults work with. */
export interface FaultContext extends CaseContext {
  readonly absences: Absences;
  /** Ids of the processes that a fault holds now, or has ended. */
  readonly taken: Set<string>;
  /** Routers that callers know: each was ready once. */
  readonly known: RouterNode[];
}

/** Brings one fault about and ends it. */
export type PaymentFault = (ctx: FaultContext) => Promise<void>;

function takeServer({ fleet, random, taken }: FaultContext): BackendNode {
  const server = pick(
    fleet.backendServers.filter((it) => !taken.has(it.id)),
    random,
  );
  taken.add(server.id);
  return server;
}

/** Takes a router that keeps a backend server and that no other fault holds. */
async function takeKeeper({ fleet, random, taken }: FaultContext): Promise<RouterNode> {
  const server = pick(fleet.backendServers, random);
  const { acting } = await readKeepers(fleet.platform.address, server.id);
  const free = fleet.routers.filter((it) => !taken.has(it.id));
  const keeper = free.find((it) => it.id === acting) ?? pick(free, random);
  taken.add(keeper.id);
  return keeper;
}

const keeperKilled: PaymentFault = async (ctx) => {
  const keeper = await takeKeeper(ctx);
  ctx.absences.begin(keeper.callers, monotonicMs());
  await keeper.program.kill();
  ctx.avoid(keeper);
  ctx.known.push(await ctx.fleet.addRouter());
};

const keeperStopped: PaymentFault = async (ctx) => {
  const keeper = await takeKeeper(ctx);
  ctx.avoid(keeper);
  ctx.absences.begin(keeper.callers, monotonicMs(), true);
  await keeper.program.stop();
  ctx.known.push(await ctx.fleet.addRouter());
};

const keeperFrozen: PaymentFault = async (ctx) => {
  const keeper = await takeKeeper(ctx);
  const absence = ctx.absences.begin(keeper.callers, monotonicMs());
  keeper.program.freeze();
  await sleep(FROZEN_MS);
  keeper.program.thaw();
  absence.to = monotonicMs();
  ctx.taken.delete(keeper.id);
};

const ownerKilled: PaymentFault = async (ctx) => {
  const owner = takeServer(ctx);
  await owner.kill();
  await sleep(RESTART_AFTER_MS);
  await owner.restart();
  ctx.taken.delete(owner.id);
};

const ownerFrozen: PaymentFault = async (ctx) => {
  const owner = takeServer(ctx);
  owner.program.freeze();
  await sleep(FROZEN_MS);
  owner.program.thaw();
  ctx.taken.delete(owner.id);
};

const ownerSlow: PaymentFault = async (ctx) => {
  const owner = takeServer(ctx);
  await owner.control({ slowFactor: SLOW_FACTOR });
  await sleep(SLOW_MS);
  await owner.control({ slowFactor: 1 });
  ctx.taken.delete(owner.id);
};

const ownerAnswersWrongly: PaymentFault = async (ctx) => {
  const owner = takeServer(ctx);
  await owner.control({ cutNext: WRONG_ANSWERS, mislabelNext: WRONG_ANSWERS });
  await sleep(SLOW_MS);
  await owner.control({ cutNext: 0, mislabelNext: 0 });
  ctx.taken.delete(owner.id);
};

const tableDown: PaymentFault = async ({ fleet, random }) => {
  await fleet.controlPlatform({ down: pick(['refuse', 'silent'] as const, random) });
  await sleep(DOWN_MS);
  await fleet.controlPlatform({ down: 'no' });
};

const tableSlow: PaymentFault = async ({ fleet }) => {
  await fleet.controlPlatform({ slowMs: TABLE_DELAY_MS });
  await sleep(SLOW_MS);
  await fleet.controlPlatform({ slowMs: 0 });
};

const tableAnswersLost: PaymentFault = async ({ fleet, random }) => {
  const seed = random.below(MAX_SEED);
  await fleet.controlPlatform({ loseShare: { probability: LOST_SHARE, seed } });
  await sleep(DOWN_MS);
  await fleet.controlPlatform({ loseShare: { probability: 0, seed } });
};

const linkCut: PaymentFault = async ({ fleet, random, taken }) => {
  const free = fleet.routers.filter((it) => !taken.has(it.id));
  const first = pick(free, random);
  const second = pick(
    free.filter((it) => it !== first),
    random,
  );
  fleet.links.cut(first.id, second.id, pick(['drop', 'reset'] as const, random));
  await sleep(SLOW_MS);
  fleet.links.cut(first.id, second.id, 'open');
};

/** All faults; a case brings each about once, in an order of its seed. */
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
