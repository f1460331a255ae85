import type { Model } from '../model/explore.js';
import { NOT_ARRIVED, type RequestOptions, type RequestState } from './request-state.js';
import { attemptSteps } from './request-steps.js';

/** Model of a non-idempotent request that its caller repeats through other routers. */
export function createRequestModel(options: RequestOptions): Model<RequestState> {
  return {
    initial: {
      row: { phase: 'absent', writer: -1 },
      attempts: Array.from({ length: options.attempts }, () => NOT_ARRIVED),
    },
    steps: (state) =>
      state.attempts.flatMap((attempt, number) =>
        attemptSteps({ state, number, attempt }, options),
      ),
    violation,
    goals: {
      'a request ran': (state) => totalRuns(state) > 0,
      'a repeat got the stored answer': (state) =>
        state.attempts.some((it) => it.answer === 'server answer' && it.runs === 0),
      'a true "not run"': (state) => state.attempts.some((it) => it.answer === 'not run'),
      'ran after a "not run"': (state) =>
        totalRuns(state) > 0 && state.attempts.some((it) => it.answer === 'not run'),
    },
  };
}

function totalRuns(state: RequestState): number {
  return state.attempts.reduce((sum, it) => sum + it.runs, 0);
}

function violation(state: RequestState): string | undefined {
  if (totalRuns(state) > 1) return 'a non-idempotent request ran twice';
  const hasFalseNotRun = state.attempts.some((it) => it.answer === 'not run' && it.runs > 0);
  if (hasFalseNotRun) return 'a request ran although its caller was told "not run"';
  return undefined;
}
