import { createConfigurationModel } from './configuration/configuration-model.js';
import { createEndModel } from './ends/end-model.js';
import { createGrantModel } from './grants/grant-model.js';
import { createLeaveModel } from './leaves/leave-model.js';
import { type Exploration, explore } from './model/explore.js';
import type { Mutation } from './model/mutations.js';
import { createOwnershipModel } from './ownership/ownership-model.js';
import type { OwnershipOptions } from './ownership/state.js';
import { createRequestModel } from './requests/request-model.js';
import { createRestoreModel } from './restores/restore-model.js';
import type { Budget, ScenarioName } from './restores/restore-state.js';
import { SCENARIO_NAMES } from './restores/scenarios.js';

/** A model with bounds, whose state space is explored completely. */
export interface ModelConfiguration {
  readonly name: string;
  /** True when the exploration takes a few seconds at most, so that the tests run it too. */
  readonly isQuick: boolean;
  /** Rules whose removal leads to a violation in this configuration. */
  readonly mutations: readonly Mutation[];
  run(mutation?: Mutation): Exploration;
}

const BASE_OPTIONS = {
  isKeeperNew: false,
  hasStandby: false,
  hasReplacement: false,
  canRelease: false,
  canLapse: false,
  canRestart: false,
  canMoveUnrecorded: false,
  maxRenewalsInFlight: 1,
  maxKeeperRowVersion: 2,
  maxMoves: 1,
} as const;

const RETURN_BUDGET = {
  restores: 0,
  moves: 0,
  grants: 2,
  restarts: 0,
  freezes: 0,
  acquisitions: 1,
} as const;

function exploreReturn(
  budget: Partial<Budget>,
  scenarios: readonly ScenarioName[],
): ModelConfiguration['run'] {
  const bounds = { ...RETURN_BUDGET, ...budget };
  return (mutation) => explore(createRestoreModel({ mutation, budget: bounds, scenarios }));
}

function exploreOwnership(features: Partial<OwnershipOptions>): ModelConfiguration['run'] {
  return (mutation) => explore(createOwnershipModel({ ...BASE_OPTIONS, ...features, mutation }));
}

/** All configurations; those that the tests run come first. */
export const MODEL_CONFIGURATIONS: readonly ModelConfiguration[] = [
  {
    name: 'lapse, acting keeper and standby',
    isQuick: true,
    mutations: ['stand-down'],
    run: exploreOwnership({ hasStandby: true, canLapse: true, maxRenewalsInFlight: 2 }),
  },
  {
    name: 'lapse, replaced keeper',
    isQuick: true,
    mutations: [
      'fence-check',
      'lease-echo',
      'wait-lease',
      'margin',
      'tenure',
      'wait-tenure',
      'read-back',
      'settle-write',
      'keeper-row-check',
    ],
    run: exploreOwnership({ hasReplacement: true, canLapse: true, maxRenewalsInFlight: 2 }),
  },
  {
    name: 'restart, new keeper and replacement',
    isQuick: true,
    mutations: ['start-identity', 'start-row'],
    run: exploreOwnership({
      isKeeperNew: true,
      hasReplacement: true,
      canLapse: true,
      canRestart: true,
    }),
  },
  {
    name: 'release, two moves of one keeper',
    isQuick: true,
    mutations: ['release-final'],
    run: exploreOwnership({ canRelease: true, maxMoves: 2 }),
  },
  {
    name: 'store down, acting keeper and standby',
    isQuick: true,
    mutations: ['epoch-reservation', 'successor-check', 'successor-renew'],
    run: exploreOwnership({ hasStandby: true, canLapse: true, canMoveUnrecorded: true }),
  },
  {
    name: 'racing operators, 2 operators and 3 routers',
    isQuick: true,
    mutations: [
      'version-check',
      'writer-history',
      'gossip-order',
      'report-incarnation',
      'start-from-peers',
    ],
    run: (mutation) => explore(createConfigurationModel({ mutation, operators: 2, routers: 3 })),
  },
  {
    name: 'grants, 2 leaders',
    isQuick: true,
    mutations: [
      'grant-unanswered',
      'grant-lease',
      'grant-row-first',
      'grant-inherited',
      'grant-fence',
      'grant-settled',
      'grant-held',
      'grant-suspension',
      'grant-grace',
    ],
    run: (mutation) =>
      explore(
        createGrantModel({
          mutation,
          renewalsPerLeader: 1,
          renewalGraceTicks: 1,
          canSuspend: true,
          canEnd: false,
        }),
      ),
  },
  {
    name: 'grants, a former leader that ends or refuses connections',
    isQuick: true,
    mutations: ['grant-former-refused'],
    run: (mutation) =>
      explore(
        createGrantModel({
          mutation,
          renewalsPerLeader: 1,
          renewalGraceTicks: 2,
          canSuspend: false,
          canEnd: true,
        }),
      ),
  },
  {
    name: 'a server that ends, starts again or loses a path',
    isQuick: true,
    mutations: ['end-refused', 'end-all-refused', 'end-silent', 'end-since', 'end-later-start'],
    run: (mutation) => explore(createEndModel({ mutation })),
  },
  {
    name: 'a server that leaves, and a registry that the leader delivers',
    isQuick: true,
    mutations: ['leave-sight', 'leave-coverage'],
    run: (mutation) => explore(createLeaveModel({ mutation })),
  },
  {
    name: 'store comes back from a copy, nothing is lost',
    isQuick: true,
    mutations: ['era-row', 'era-confirm'],
    run: exploreReturn({}, [
      'nothing is lost',
      'nothing is lost, the write of a move is under way',
    ]),
  },
  {
    name: 'store comes back from a copy, a move is lost',
    isQuick: true,
    mutations: ['era-late'],
    run: exploreReturn({}, ['a move is lost']),
  },
  {
    name: 'store comes back from a copy, a move is lost and a router started anew',
    isQuick: true,
    mutations: ['era-fence', 'era-first', 'era-grace', 'era-wait'],
    run: exploreReturn({}, ['a move is lost, router 1 was started anew']),
  },
  {
    name: 'store comes back from a copy, a change of leader is lost',
    isQuick: true,
    mutations: ['era-answer', 'era-clear', 'era-record', 'era-stale-leader'],
    run: exploreReturn({}, [
      'a hand-over to router 1 and a move are lost',
      'a hand-over to router 1 and a move are lost, router 0 was started anew',
      'a change of leader, unnoticed by router 0, and a move are lost',
      'a change of leader, unnoticed by router 0, and a move are lost, router 1 was started anew',
    ]),
  },
  {
    name: 'at most once, 2 attempts',
    isQuick: true,
    mutations: ['read-back', 'intent-first', 'proof-of-not-run', 'repeat-check'],
    run: (mutation) => explore(createRequestModel({ mutation, attempts: 2 })),
  },
  {
    name: 'at most once, 3 attempts',
    isQuick: false,
    mutations: [],
    run: (mutation) => explore(createRequestModel({ mutation, attempts: 3 })),
  },
  {
    name: 'lapse, acting keeper, standby and replacement',
    isQuick: false,
    mutations: [],
    run: exploreOwnership({ hasStandby: true, hasReplacement: true, canLapse: true }),
  },
  {
    name: 'restart, acting keeper, standby and replacement',
    isQuick: false,
    mutations: [],
    run: exploreOwnership({
      hasStandby: true,
      hasReplacement: true,
      canLapse: true,
      canRestart: true,
    }),
  },
  {
    name: 'release, acting keeper and standby',
    isQuick: false,
    mutations: [],
    run: exploreOwnership({ hasStandby: true, canRelease: true }),
  },
  {
    name: 'release or lapse, replaced keeper',
    isQuick: false,
    mutations: [],
    run: exploreOwnership({ hasReplacement: true, canRelease: true, canLapse: true }),
  },
  {
    name: 'store down, acting keeper, standby and replacement',
    isQuick: false,
    mutations: [],
    run: exploreOwnership({
      hasStandby: true,
      hasReplacement: true,
      canLapse: true,
      canMoveUnrecorded: true,
    }),
  },
  {
    name: 'store comes back from a copy, further moves',
    isQuick: false,
    mutations: [],
    run: exploreReturn({ moves: 1 }, SCENARIO_NAMES),
  },
  {
    name: 'store comes back from a copy twice',
    isQuick: false,
    mutations: ['era-again'],
    run: exploreReturn({ restores: 1 }, ['a move is lost']),
  },
  {
    name: 'store comes back from a copy, a leader is frozen',
    isQuick: false,
    mutations: ['era-thaw'],
    run: exploreReturn({ freezes: 1 }, [
      'a change of leader, unnoticed by router 0, and a move are lost',
    ]),
  },
  {
    name: 'store comes back from a copy, a leader is frozen and a move is lost',
    isQuick: false,
    mutations: [],
    run: exploreReturn({ freezes: 1 }, ['a move is lost']),
  },
  {
    name: 'store comes back from a copy, all routers are started anew',
    isQuick: false,
    mutations: [],
    run: exploreReturn({ restarts: 2 }, ['a move is lost']),
  },
  {
    name: 'store comes back from a copy, two changes of leader',
    isQuick: false,
    mutations: [],
    run: exploreReturn({ acquisitions: 2 }, ['a move is lost']),
  },
];
