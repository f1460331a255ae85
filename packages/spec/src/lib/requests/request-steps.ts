import type { Step } from '../model/explore.js';
import type { Answer, Attempt, IntentRow, RequestOptions, RequestState } from './request-state.js';

type Steps = Step<RequestState>[];

/** Maximum number of dispatches that one attempt may have given up and that may still run. */
const MAX_ABANDONED_DISPATCHES = 1;

interface AttemptView {
  readonly state: RequestState;
  readonly number: number;
  readonly attempt: Attempt;
}

/** Steps of one attempt: at its keeper, at the table and at the backend server. @internal */
export function attemptSteps(view: AttemptView, options: RequestOptions): Steps {
  return [
    ...arrive(view),
    ...applyIntent(view),
    ...copyIntent(view),
    ...settleIntent(view, options),
    ...dispatch(view, options),
    ...runDispatch(view),
    ...receiveAnswer(view),
    ...loseConnection(view, options),
    ...giveUp(view),
    ...crashKeeper(view),
    ...applyOutcome(view),
  ];
}

function attemptStep(
  view: AttemptView,
  text: string,
  change: Partial<Attempt>,
  row?: IntentRow,
): Steps {
  const { state, number } = view;
  const attempts = state.attempts.map((it, index) =>
    index === number ? { ...it, ...change } : it,
  );
  return [{ name: `attempt ${number}: ${text}`, next: { row: row ?? state.row, attempts } }];
}

function end(
  view: AttemptView,
  text: string,
  answer: Answer,
  change: Partial<Attempt> = {},
): Steps {
  return attemptStep(view, `${text}; the caller receives: ${answer}`, {
    ...change,
    phase: 'ended',
    answer,
  });
}

function arrive(view: AttemptView): Steps {
  if (view.attempt.phase !== 'not arrived') return [];
  return attemptStep(view, 'arrives, the intent is sent', {
    phase: 'writing',
    intent: 'in flight',
  });
}

function applyIntent(view: AttemptView): Steps {
  const { state, number, attempt } = view;
  if (attempt.intent !== 'in flight') return [];
  if (state.row.phase !== 'absent')
    return attemptStep(view, 'the intent is refused', { intent: 'refused' });
  const row = { phase: 'pending', writer: number } as const;
  return attemptStep(view, 'the intent is written', { intent: 'applied' }, row);
}

/** The copy may arrive after the row of the first write is removed, and write the row again. */
function copyIntent(view: AttemptView): Steps {
  const { state, number, attempt } = view;
  if (attempt.intentCopy === 'none' && attempt.phase === 'writing') {
    return attemptStep(view, 'sends a copy of the intent', { intentCopy: 'in flight' });
  }
  if (attempt.intentCopy !== 'in flight') return [];
  if (state.row.phase !== 'absent')
    return attemptStep(view, 'the copy of the intent is refused', { intentCopy: 'ended' });
  const row = { phase: 'pending', writer: number } as const;
  return attemptStep(view, 'the copy of the intent is written', { intentCopy: 'ended' }, row);
}

/** The keeper receives the answer to its write of the intent, or reads the row back. */
function settleIntent(view: AttemptView, options: RequestOptions): Steps {
  const { state, number, attempt } = view;
  if (attempt.phase !== 'writing') return [];
  if (options.mutation === 'read-back') {
    return attemptStep(view, 'has no answer and assumes that the intent is written', {
      phase: 'ready',
    });
  }
  const { phase, writer } = state.row;
  if (writer === number)
    return attemptStep(view, 'knows that the intent is written', { phase: 'ready' });
  if (phase === 'done') return end(view, 'finds the answer', 'server answer');
  if (phase === 'absent') {
    if (attempt.intent !== 'refused') return [];
    return attemptStep(view, 'finds the row gone and sends the intent again', {
      intent: 'in flight',
    });
  }
  if (options.mutation === 'repeat-check') {
    return attemptStep(view, 'finds an unfinished intent and continues', { phase: 'ready' });
  }
  return end(view, 'finds an unfinished intent', 'unknown');
}

function dispatch(view: AttemptView, options: RequestOptions): Steps {
  const { phase } = view.attempt;
  const isEarly = options.mutation === 'intent-first' && phase === 'writing';
  if (phase !== 'ready' && !isEarly) return [];
  return attemptStep(view, 'is dispatched', { phase: 'dispatched', dispatch: 'in flight' });
}

function runDispatch(view: AttemptView): Steps {
  const { attempt } = view;
  const { runs, abandonedDispatches } = attempt;
  const steps: Steps = [];
  if (attempt.dispatch === 'in flight') {
    steps.push(...attemptStep(view, 'runs', { dispatch: 'ran', runs: runs + 1 }));
    steps.push(...attemptStep(view, 'is refused by the server', { dispatch: 'refused' }));
  }
  if (abandonedDispatches > 0)
    steps.push(
      ...attemptStep(view, 'runs late', {
        abandonedDispatches: abandonedDispatches - 1,
        runs: runs + 1,
      }),
    );
  return steps;
}

function receiveAnswer(view: AttemptView): Steps {
  const { attempt } = view;
  if (attempt.phase !== 'dispatched') return [];
  const idle = { dispatch: 'none' } as const;
  if (attempt.dispatch === 'ran')
    return end(view, 'is answered', 'server answer', { ...idle, outcome: 'answer' });
  if (attempt.dispatch !== 'refused') return [];
  return [
    ...attemptStep(view, 'is told that it was not run', { ...idle, phase: 'ready' }),
    ...end(view, 'is told that it was not run', 'not run', { ...idle, outcome: 'removal' }),
  ];
}

function loseConnection(view: AttemptView, options: RequestOptions): Steps {
  const { attempt } = view;
  if (attempt.phase !== 'dispatched' || attempt.abandonedDispatches >= MAX_ABANDONED_DISPATCHES)
    return [];
  const isInFlight = attempt.dispatch === 'in flight';
  const change = {
    dispatch: 'none',
    abandonedDispatches: attempt.abandonedDispatches + Number(isInFlight),
  } as const;
  const text = 'loses the connection to the server';
  if (options.mutation !== 'proof-of-not-run') return end(view, text, 'unknown', change);
  return [
    ...attemptStep(view, `${text} and tries again`, { ...change, phase: 'ready' }),
    ...end(view, text, 'not run', { ...change, outcome: 'removal' }),
  ];
}

/** Before the dispatch, "not run" is true: an intent that is written later is never dispatched. */
function giveUp(view: AttemptView): Steps {
  const { phase } = view.attempt;
  if (phase === 'writing') return end(view, 'is given up', 'not run');
  if (phase === 'ready') return end(view, 'is given up', 'not run', { outcome: 'removal' });
  return [];
}

function crashKeeper(view: AttemptView): Steps {
  const { attempt } = view;
  if (['not arrived', 'ended'].includes(attempt.phase)) return [];
  const isInFlight = attempt.dispatch === 'in flight';
  const change = {
    dispatch: 'none',
    abandonedDispatches: attempt.abandonedDispatches + Number(isInFlight),
  } as const;
  return end(view, 'its keeper crashes', 'unknown', change);
}

function applyOutcome(view: AttemptView): Steps {
  const { state, number, attempt } = view;
  if (attempt.outcome === 'none') return [];
  if (state.row.writer !== number)
    return attemptStep(view, 'its last write is refused', { outcome: 'none' });
  const row: IntentRow =
    attempt.outcome === 'answer'
      ? { phase: 'done', writer: number }
      : { phase: 'absent', writer: -1 };
  return attemptStep(view, `its ${attempt.outcome} is written`, { outcome: 'none' }, row);
}
