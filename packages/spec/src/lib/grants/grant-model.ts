import type { Model, Step } from '../model/explore.js';
import {
  A,
  B,
  GRACE,
  type Grant,
  type GrantOptions,
  type GrantState,
  LEASE,
  type Leader,
  TENURE,
  TRANSIT,
} from './grant-state.js';

type Steps = Step<GrantState>[];

/** What a step of one leader sees. */
interface View {
  readonly state: GrantState;
  readonly number: number;
  readonly leader: Leader;
  readonly options: GrantOptions;
}

/** A key moves from one server to another by grants that may be carried out late. */
export function createGrantModel(options: GrantOptions): Model<GrantState> {
  return {
    initial: initialState(options),
    steps: (state) => [
      ...tick(state),
      ...state.grants.flatMap((grant, index) => grantSteps(state, grant, index)),
      ...state.leaders.flatMap((leader, number) => leaderSteps({ state, number, leader, options })),
    ],
    violation: ({ held }) =>
      held.every((left) => left > 0) ? 'both servers hold the key' : undefined,
    goals: {
      'the key moves': (state) => state.leaders.some((it) => it.phase === 'moved'),
      'the second leader moves it': (state) => state.leaders[1]?.phase === 'moved',
      'A refuses a grant of the former leader': (state) =>
        state.grants.some((it) => it.server === A && it.fence < state.seenByA),
      'a grant is late': (state) => state.grants.some((it) => it.hasArrived && it.left < LEASE),
      'a leader is suspended': (state) => state.leaders.some((it) => it.suspended),
    },
  };
}

function initialState(options: GrantOptions): GrantState {
  const follower: Leader = {
    phase: 'following',
    suspended: false,
    distrusts: false,
    unconfirmed: 0,
    answeredLeft: 0,
    unansweredLeft: 0,
    inheritedLeft: 0,
    renewalsLeft: options.renewalsPerLeader,
    suspensionsLeft: 0,
  };
  // One suspension of the first leader shows the rule; more only add states.
  const leading = {
    ...follower,
    phase: 'leading',
    answeredLeft: LEASE,
    suspensionsLeft: 1,
  } as const;
  return {
    row: { leader: 0, tenureLeft: TENURE, owner: A, settled: false, heldLeft: 0 },
    leaders: [leading, follower],
    held: [LEASE, 0],
    seenByA: 0,
    grants: [],
  };
}

const down = (left: number) => Math.max(0, left - 1);

function tickLeader(leader: Leader): Leader {
  if (leader.suspended) return leader;
  return {
    ...leader,
    unconfirmed: Math.min(leader.unconfirmed + 1, TENURE + GRACE),
    answeredLeft: down(leader.answeredLeft),
    unansweredLeft: down(leader.unansweredLeft),
    inheritedLeft: down(leader.inheritedLeft),
  };
}

function tick(state: GrantState): Steps {
  const next: GrantState = {
    ...state,
    row: {
      ...state.row,
      tenureLeft: down(state.row.tenureLeft),
      heldLeft: down(state.row.heldLeft),
    },
    leaders: state.leaders.map(tickLeader),
    held: state.held.map(down),
    // A grant that did not arrive in time never will; one whose lease has passed changes nothing.
    grants: state.grants.filter((it) => it.left > 0).map((it) => ({ ...it, left: it.left - 1 })),
  };
  return [{ name: 'time passes', next }];
}

const nameOf = (server: number) => (server === A ? 'A' : 'B');

/** A grant arrives, is carried out at once or later, and is answered or not. */
function grantSteps(state: GrantState, grant: Grant, index: number): Steps {
  const name = `the grant to ${nameOf(grant.server)} of leader ${grant.leader}`;
  if (!grant.hasArrived) {
    const grants = state.grants.with(index, { ...grant, hasArrived: true, left: LEASE });
    return [{ name: `${name} arrives`, next: { ...state, grants } }];
  }
  const grants = state.grants.toSpliced(index, 1);
  if (grant.server === A && grant.fence < state.seenByA) {
    return [{ name: `${name} is refused: A has seen a higher token`, next: { ...state, grants } }];
  }
  const left = Math.max(state.held[grant.server] ?? 0, grant.left);
  const held = state.held.with(grant.server, left);
  const seenByA = grant.server === A ? grant.fence : state.seenByA;
  const done = { ...state, held, seenByA, grants };
  return [
    { name: `${name} is carried out without an answer`, next: done },
    ...answered(done, grant, name),
  ];
}

function answered(state: GrantState, grant: Grant, name: string): Steps {
  const leader = state.leaders[grant.leader];
  if (!leader || leader.suspended || grant.server !== A) return [];
  const isLast = !state.grants.some((it) => it.leader === grant.leader);
  const next: Leader = {
    ...leader,
    answeredLeft: LEASE,
    unansweredLeft: isLast ? 0 : leader.unansweredLeft,
    // A refuses from now on what the former leader granted.
    inheritedLeft: 0,
  };
  const leaders = state.leaders.with(grant.leader, next);
  return [{ name: `${name} is carried out and answered`, next: { ...state, leaders } }];
}

function step(
  { state, number, leader }: View,
  text: string,
  change: Partial<Leader>,
  rest: Partial<GrantState> = {},
): Steps {
  const leaders = state.leaders.with(number, { ...leader, ...change });
  return [{ name: `leader ${number} ${text}`, next: { ...state, leaders, ...rest } }];
}

function leaderSteps(view: View): Steps {
  if (view.leader.suspended) return resume(view);
  return [
    ...suspend(view),
    ...takeSeat(view),
    ...confirm(view),
    ...renew(view),
    ...storeMove(view),
    ...release(view),
    ...grantToB(view),
  ];
}

function suspend(view: View): Steps {
  if (view.leader.suspensionsLeft === 0) return [];
  return step(view, 'is suspended', { suspended: true, suspensionsLeft: 0 });
}

function resume(view: View): Steps {
  const distrusts = view.options.mutation !== 'grant-suspension';
  return step(view, 'goes on', { suspended: false, distrusts });
}

function takeSeat(view: View): Steps {
  const { state, number, leader, options } = view;
  const { row } = state;
  if (leader.phase !== 'following' || row.leader === number || row.tenureLeft > 0) return [];
  const isMoved = row.owner === B;
  const isWaited = options.mutation !== 'grant-inherited' && !(isMoved && row.settled);
  // Nothing is granted any more to a former owner, so what the row says of its lease is final.
  const inheritedLeft = isMoved ? row.heldLeft : GRACE + TRANSIT + LEASE;
  return step(
    view,
    'takes the seat',
    {
      phase: row.owner === A ? 'leading' : 'stored',
      unconfirmed: 0,
      answeredLeft: isMoved ? row.heldLeft : LEASE,
      inheritedLeft: isWaited ? inheritedLeft : 0,
    },
    { row: { ...row, leader: number, tenureLeft: TENURE } },
  );
}

function confirm(view: View): Steps {
  const { state, number, leader } = view;
  if (leader.phase === 'following' || state.row.leader !== number) return [];
  const settled = leader.phase !== 'leading' && (state.row.settled || isSettled(view));
  const heldLeft = leader.phase === 'leading' ? 0 : storedHeldFor(view);
  const row = { ...state.row, tenureLeft: TENURE, settled, heldLeft };
  return step(view, 'confirms its seat', { unconfirmed: 0, distrusts: false }, { row });
}

/** No grant to A that is without an answer can still count. */
function isSettled({ leader, options }: View): boolean {
  if (options.mutation === 'grant-settled') return true;
  return leader.unansweredLeft === 0 && leader.inheritedLeft === 0;
}

function mayOrder({ leader }: View): boolean {
  return !leader.distrusts && leader.unconfirmed < TENURE;
}

function mayRenew({ leader, options }: View): boolean {
  if (options.mutation === 'grant-grace') return true;
  return !leader.distrusts && leader.unconfirmed < TENURE + GRACE;
}

function sendGrant(view: View, server: number, change: Partial<Leader>): Steps {
  const { state, number, options } = view;
  const fence = options.mutation === 'grant-fence' ? 0 : number;
  const grant: Grant = { server, leader: number, fence, hasArrived: false, left: TRANSIT };
  const grants = [...state.grants, grant];
  return step(view, `grants the key to ${nameOf(server)}`, change, { grants });
}

function renew(view: View): Steps {
  const { leader } = view;
  if (leader.phase !== 'leading' || leader.renewalsLeft === 0 || !mayRenew(view)) return [];
  return sendGrant(view, A, {
    renewalsLeft: leader.renewalsLeft - 1,
    unansweredLeft: TRANSIT + LEASE,
  });
}

function storeMove(view: View): Steps {
  const { state, number, leader, options } = view;
  if (leader.phase !== 'leading' || !mayOrder(view)) return [];
  if (options.mutation === 'grant-row-first') {
    return step(view, 'moves the key', { phase: 'stored' });
  }
  if (state.row.leader !== number) return [];
  const row = {
    ...state.row,
    owner: B,
    settled: isSettled(view),
    heldLeft: storedHeldFor(view),
  };
  return step(view, 'stores that B owns the key', { phase: 'stored' }, { row });
}

function release(view: View): Steps {
  const { state, leader } = view;
  if (leader.phase !== 'stored' || !mayOrder(view)) return [];
  const held = state.held.with(A, 0);
  return step(view, 'releases the key at A', { phase: 'released', answeredLeft: 0 }, { held });
}

/** How long A may hold the key, as the leader knows. */
function heldFor({ leader, options }: View): number {
  return Math.max(
    options.mutation === 'grant-lease' ? 0 : leader.answeredLeft,
    options.mutation === 'grant-unanswered' ? 0 : leader.unansweredLeft,
    leader.inheritedLeft,
  );
}

/** What the row says of it. */
function storedHeldFor(view: View): number {
  return view.options.mutation === 'grant-held' ? view.leader.answeredLeft : heldFor(view);
}

function grantToB(view: View): Steps {
  const { leader } = view;
  const isMoving = leader.phase === 'stored' || leader.phase === 'released';
  if (!isMoving || !mayOrder(view) || heldFor(view) > 0) return [];
  return sendGrant(view, B, { phase: 'moved' });
}
