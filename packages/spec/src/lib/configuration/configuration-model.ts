import type { Model } from '../model/explore.js';
import type {
  ConfigurationOptions,
  ConfigurationState,
  OperatorState,
} from './configuration-state.js';
import { operatorSteps } from './operator-steps.js';
import { routerSteps } from './router-steps.js';

const FIRST_VERSION = 1;

/** Model of operators who submit configurations of one service concurrently. */
export function createConfigurationModel(options: ConfigurationOptions): Model<ConfigurationState> {
  return {
    initial: initialState(options),
    steps: (state) => [
      ...state.operators.flatMap((operator, number) =>
        operatorSteps({ state, number, operator }, options),
      ),
      ...state.routers.flatMap((router, number) => routerSteps({ state, number, router }, options)),
    ],
    violation,
    goals: {
      'a configuration is accepted': (state) => state.accepted.version > FIRST_VERSION,
      'a configuration is in force everywhere': (state) => state.inForce > FIRST_VERSION,
      'an operator is refused': (state) => state.operators.some((it) => it.phase === 'refused'),
    },
  };
}

function initialState(options: ConfigurationOptions): ConfigurationState {
  const operator: OperatorState = {
    phase: 'idle',
    baseVersion: 0,
    write: 'none',
    reports: Array.from({ length: options.routers }, () => false),
  };
  return {
    writers: [-1],
    operators: Array.from({ length: options.operators }, () => operator),
    routers: Array.from({ length: options.routers }, () => ({
      version: FIRST_VERSION,
      isReady: true,
    })),
    highestPushed: FIRST_VERSION,
    accepted: { version: FIRST_VERSION, writer: -1 },
    inForce: FIRST_VERSION,
    revertedRouter: -1,
  };
}

function violation(state: ConfigurationState): string | undefined {
  const { writers, accepted, inForce, revertedRouter } = state;
  if (revertedRouter >= 0) return `router ${revertedRouter} returned to a lower version`;
  if (writers[accepted.version - 1] !== accepted.writer) return 'an accepted configuration is lost';
  const behind = state.routers.findIndex((it) => it.isReady && it.version < inForce);
  if (behind >= 0) return `router ${behind} has a version below ${inForce}, which is in force`;
  const wronglyRefused = state.operators.findIndex(
    (it) => it.phase === 'refused' && it.write === 'applied',
  );
  if (wronglyRefused >= 0)
    return `operator ${wronglyRefused} was refused although its write took effect`;
  return undefined;
}
