import type { Model, Step } from '../model/explore.js';
import {
  SERVER_A,
  SERVER_B,
  type Grant,
  type GrantOptions,
  type GrantState,
  LEASE_TICKS,
  type Leader,
  LEADER_LEASE_TICKS,
  MAX_TRANSIT_TICKS,
} from './grant-state.js';

type Steps = Step<GrantState>[];

/** Longest time for which a grant of a leader that has ended may be in effect. */
const ENDED_LEADER_TICKS = MAX_TRANSIT_TICKS + LEASE_TICKS;

/** A router that may lead, with its number, the state that it is part of and the options. */
interface LeaderView {
  readonly state: GrantState;
  readonly number: number;
  readonly leader: Leader;
  readonly options: GrantOptions;
}

/** Model of a key that moves between backend servers, by grants that may be carried out late. */
export function createGrantModel(options: GrantOptions): Model<GrantState> {
  return {
    initial: initialState(options),
    steps: (state) => [
      ...tick(state, options),
      ...state.grants.flatMap((grant, index) => grantSteps(state, grant, index)),
      ...state.leaders.flatMap((leader, number) => leaderSteps({ state, number, leader, options })),
    ],
    violation: ({ leaseLeft }) =>
      leaseLeft.every((left) => left > 0) ? 'both servers hold the key' : undefined,
    goals: {
      'the key moves': (state) => state.leaders.some((it) => it.phase === 'moved'),
      'the second leader moves it': (state) => state.leaders[1]?.phase === 'moved',
      'A refuses a grant of the former leader': (state) =>
        state.grants.some((it) => it.server === SERVER_A && it.fence < state.highestFenceSeenByA),
      'a grant is late': (state) =>
        state.grants.some((it) => it.hasArrived && it.timeLeft < LEASE_TICKS),
      ...(options.canSuspend && {
        'a leader is suspended': (state: GrantState) => state.leaders.some((it) => it.isSuspended),
      }),
      ...(options.canEnd && {
        'the second leader knows that the first has ended': ({ leaders }: GrantState) =>
          leaders[0]?.phase === 'ended' && leaders[1]?.inheritedLeft === ENDED_LEADER_TICKS,
      }),
    },
  };
}

function initialState(options: GrantOptions): GrantState {
  const follower: Leader = {
    phase: 'following',
    isSuspended: false,
    needsConfirmation: false,
    sinceConfirmed: 0,
    answeredLeft: 0,
    unansweredLeft: 0,
    inheritedLeft: 0,
    renewalsLeft: options.renewalsPerLeader,
    suspensionsLeft: 0,
  };
  // One suspension of the first leader suffices to check the rule; more only add states.
  const leading = {
    ...follower,
    phase: 'leading',
    answeredLeft: LEASE_TICKS,
    suspensionsLeft: options.canSuspend ? 1 : 0,
  } as const;
  return {
    row: {
      leader: 0,
      leaderLeaseLeft: LEADER_LEASE_TICKS,
      owner: SERVER_A,
      settled: false,
      heldLeft: 0,
    },
    leaders: [leading, follower],
    leaseLeft: [LEASE_TICKS, 0],
    highestFenceSeenByA: 0,
    grants: [],
  };
}

const decremented = (left: number) => Math.max(0, left - 1);

function tickLeader(leader: Leader, { renewalGraceTicks }: GrantOptions): Leader {
  if (leader.isSuspended) return leader;
  return {
    ...leader,
    sinceConfirmed: Math.min(leader.sinceConfirmed + 1, LEADER_LEASE_TICKS + renewalGraceTicks),
    answeredLeft: decremented(leader.answeredLeft),
    unansweredLeft: decremented(leader.unansweredLeft),
    inheritedLeft: decremented(leader.inheritedLeft),
  };
}

function tick(state: GrantState, options: GrantOptions): Steps {
  const next: GrantState = {
    ...state,
    row: {
      ...state.row,
      leaderLeaseLeft: decremented(state.row.leaderLeaseLeft),
      heldLeft: decremented(state.row.heldLeft),
    },
    leaders: state.leaders.map((it) => tickLeader(it, options)),
    leaseLeft: state.leaseLeft.map(decremented),
    // A grant that did not arrive in time never arrives; one whose lease has lapsed has no effect.
    grants: state.grants
      .filter((it) => it.timeLeft > 0)
      .map((it) => ({ ...it, timeLeft: it.timeLeft - 1 })),
  };
  return [{ name: 'time passes', next }];
}

const serverName = (server: number) => (server === SERVER_A ? 'A' : 'B');

/** A grant arrives, is carried out at once or later, and its answer is received or lost. */
function grantSteps(state: GrantState, grant: Grant, index: number): Steps {
  const name = `the grant to ${serverName(grant.server)} of leader ${grant.leader}`;
  if (!grant.hasArrived) {
    const grants = state.grants.with(index, { ...grant, hasArrived: true, timeLeft: LEASE_TICKS });
    return [{ name: `${name} arrives`, next: { ...state, grants } }];
  }
  const grants = state.grants.toSpliced(index, 1);
  if (grant.server === SERVER_A && grant.fence < state.highestFenceSeenByA) {
    return [
      { name: `${name} is refused: A has seen a higher fencing token`, next: { ...state, grants } },
    ];
  }
  const left = Math.max(state.leaseLeft[grant.server] ?? 0, grant.timeLeft);
  const leaseLeft = state.leaseLeft.with(grant.server, left);
  const highestFenceSeenByA = grant.server === SERVER_A ? grant.fence : state.highestFenceSeenByA;
  const carriedOut = { ...state, leaseLeft, highestFenceSeenByA, grants };
  return [
    { name: `${name} is carried out without an answer`, next: carriedOut },
    ...answerSteps(carriedOut, grant, name),
  ];
}

function answerSteps(state: GrantState, grant: Grant, name: string): Steps {
  const leader = state.leaders[grant.leader];
  if (!leader || leader.isSuspended || grant.server !== SERVER_A) return [];
  const isLast = !state.grants.some((it) => it.leader === grant.leader);
  const next: Leader = {
    ...leader,
    answeredLeft: LEASE_TICKS,
    unansweredLeft: isLast ? 0 : leader.unansweredLeft,
    // A has seen the token of this leader, so it refuses grants of the former leader from now on.
    inheritedLeft: 0,
  };
  const leaders = state.leaders.with(grant.leader, next);
  return [{ name: `${name} is carried out and answered`, next: { ...state, leaders } }];
}

function leaderStep(
  { state, number, leader }: LeaderView,
  text: string,
  change: Partial<Leader>,
  rest: Partial<GrantState> = {},
): Steps {
  const leaders = state.leaders.with(number, { ...leader, ...change });
  return [{ name: `leader ${number} ${text}`, next: { ...state, leaders, ...rest } }];
}

function leaderSteps(view: LeaderView): Steps {
  if (view.leader.phase === 'ended') return [];
  if (view.leader.isSuspended) return resume(view);
  return [
    ...suspend(view),
    ...end(view),
    ...askFormerLeader(view),
    ...acquireLeaderLease(view),
    ...confirmLeaderLease(view),
    ...renew(view),
    ...storeMove(view),
    ...release(view),
    ...grantToB(view),
  ];
}

function suspend(view: LeaderView): Steps {
  if (view.leader.suspensionsLeft === 0) return [];
  return leaderStep(view, 'is suspended', { isSuspended: true, suspensionsLeft: 0 });
}

function resume(view: LeaderView): Steps {
  const needsConfirmation = view.options.mutation !== 'grant-suspension';
  return leaderStep(view, 'resumes', { isSuspended: false, needsConfirmation });
}

/** The first leader's process ends. */
function end(view: LeaderView): Steps {
  if (view.number !== 0 || !view.options.canEnd) return [];
  return leaderStep(view, 'ends', { phase: 'ended' });
}

/**
 * The second leader asks the first to step down. An answer of another process at its address shows
 * that it has ended; a refused connection shows nothing.
 */
function askFormerLeader(view: LeaderView): Steps {
  const { state, leader, options } = view;
  if (!options.canEnd) return [];
  if (leader.phase === 'following' || leader.inheritedLeft <= ENDED_LEADER_TICKS) return [];
  const former = state.leaders[0];
  const change = { inheritedLeft: ENDED_LEADER_TICKS };
  if (former?.phase === 'ended')
    return leaderStep(view, 'is answered by another process at the address of leader 0', change);
  if (options.mutation !== 'grant-former-refused') return [];
  return leaderStep(view, 'is refused by leader 0', change);
}

function acquireLeaderLease(view: LeaderView): Steps {
  const { state, number, leader, options } = view;
  const { row } = state;
  if (leader.phase !== 'following' || row.leader === number || row.leaderLeaseLeft > 0) return [];
  const isMoved = row.owner === SERVER_B;
  const mustWait = options.mutation !== 'grant-inherited' && !(isMoved && row.settled);
  // A former owner gets no more grants, so the time that the row states for its lease is final.
  const inheritedLeft = isMoved ? row.heldLeft : options.renewalGraceTicks + ENDED_LEADER_TICKS;
  return leaderStep(
    view,
    'acquires the leadership lease',
    {
      phase: row.owner === SERVER_A ? 'leading' : 'stored',
      sinceConfirmed: 0,
      answeredLeft: isMoved ? row.heldLeft : LEASE_TICKS,
      inheritedLeft: mustWait ? inheritedLeft : 0,
    },
    { row: { ...row, leader: number, leaderLeaseLeft: LEADER_LEASE_TICKS } },
  );
}

function confirmLeaderLease(view: LeaderView): Steps {
  const { state, number, leader } = view;
  if (leader.phase === 'following' || state.row.leader !== number) return [];
  const settled = leader.phase !== 'leading' && (state.row.settled || isSettled(view));
  const heldLeft = leader.phase === 'leading' ? 0 : heldLeftToStore(view);
  const row = { ...state.row, leaderLeaseLeft: LEADER_LEASE_TICKS, settled, heldLeft };
  return leaderStep(
    view,
    'confirms its leadership lease',
    { sinceConfirmed: 0, needsConfirmation: false },
    { row },
  );
}

/** Returns whether no unanswered grant to A can still take effect. */
function isSettled({ leader, options }: LeaderView): boolean {
  if (options.mutation === 'grant-settled') return true;
  return leader.unansweredLeft === 0 && leader.inheritedLeft === 0;
}

function mayMoveKey({ leader }: LeaderView): boolean {
  return !leader.needsConfirmation && leader.sinceConfirmed < LEADER_LEASE_TICKS;
}

function mayRenew({ leader, options }: LeaderView): boolean {
  if (options.mutation === 'grant-grace') return true;
  return (
    !leader.needsConfirmation &&
    leader.sinceConfirmed < LEADER_LEASE_TICKS + options.renewalGraceTicks
  );
}

function sendGrant(view: LeaderView, server: number, change: Partial<Leader>): Steps {
  const { state, number, options } = view;
  const fence = options.mutation === 'grant-fence' ? 0 : number;
  const grant: Grant = {
    server,
    leader: number,
    fence,
    hasArrived: false,
    timeLeft: MAX_TRANSIT_TICKS,
  };
  const grants = [...state.grants, grant];
  return leaderStep(view, `grants the key to ${serverName(server)}`, change, { grants });
}

function renew(view: LeaderView): Steps {
  const { leader } = view;
  if (leader.phase !== 'leading' || leader.renewalsLeft === 0 || !mayRenew(view)) return [];
  return sendGrant(view, SERVER_A, {
    renewalsLeft: leader.renewalsLeft - 1,
    unansweredLeft: MAX_TRANSIT_TICKS + LEASE_TICKS,
  });
}

function storeMove(view: LeaderView): Steps {
  const { state, number, leader, options } = view;
  if (leader.phase !== 'leading' || !mayMoveKey(view)) return [];
  if (options.mutation === 'grant-row-first') {
    return leaderStep(view, 'moves the key', { phase: 'stored' });
  }
  if (state.row.leader !== number) return [];
  const row = {
    ...state.row,
    owner: SERVER_B,
    settled: isSettled(view),
    heldLeft: heldLeftToStore(view),
  };
  return leaderStep(view, 'stores that B owns the key', { phase: 'stored' }, { row });
}

function release(view: LeaderView): Steps {
  const { state, leader } = view;
  if (leader.phase !== 'stored' || !mayMoveKey(view)) return [];
  const leaseLeft = state.leaseLeft.with(SERVER_A, 0);
  return leaderStep(
    view,
    'releases the key at A',
    { phase: 'released', answeredLeft: 0 },
    { leaseLeft },
  );
}

/** Returns for how many ticks A may still hold the key, as far as the leader knows. */
function heldLeftOf({ leader, options }: LeaderView): number {
  return Math.max(
    options.mutation === 'grant-lease' ? 0 : leader.answeredLeft,
    options.mutation === 'grant-unanswered' ? 0 : leader.unansweredLeft,
    leader.inheritedLeft,
  );
}

/** Returns for how many ticks A may still hold the key, as the leader states it in the row. */
function heldLeftToStore(view: LeaderView): number {
  return view.options.mutation === 'grant-held' ? view.leader.answeredLeft : heldLeftOf(view);
}

function grantToB(view: LeaderView): Steps {
  const { leader } = view;
  const isMoving = leader.phase === 'stored' || leader.phase === 'released';
  if (!isMoving || !mayMoveKey(view) || heldLeftOf(view) > 0) return [];
  return sendGrant(view, SERVER_B, { phase: 'moved' });
}
