import type { Step } from '../model/explore.js';
import type { Answer, Attempt, IntentRow, RequestOptions, RequestState } from './request-state.js';

type Steps = Step<RequestState>[];

/** Most dispatches of one attempt that may still be on their way. */
const MAX_STRAY = 1;

interface View {
  readonly state: RequestState;
  readonly number: number;
  readonly attempt: Attempt;
}

/** Steps of one attempt: at its keeper, at the table and at the backend server. @internal */
export function attemptSteps(view: View, options: RequestOptions): Steps {
  return [
    ...arrive(view),
    ...landIntent(view),
    ...copyIntent(view),
    ...settleIntent(view, options),
    ...dispatch(view, options),
    ...serve(view),
    ...hear(view),
    ...loseConnection(view, options),
    ...giveUp(view),
    ...crash(view),
    ...landOutcome(view),
  ];
}

function step(view: View, text: string, change: Partial<Attempt>, row?: IntentRow): Steps {
  const { state, number } = view;
  const attempts = state.attempts.map((it, index) =>
    index === number ? { ...it, ...change } : it,
  );
  return [{ name: `attempt ${number}: ${text}`, next: { row: row ?? state.row, attempts } }];
}

function end(view: View, text: string, answer: Answer, change: Partial<Attempt> = {}): Steps {
  return step(view, `${text}; the caller hears: ${answer}`, { ...change, phase: 'ended', answer });
}

function arrive(view: View): Steps {
  if (view.attempt.phase !== 'outside') return [];
  return step(view, 'arrives, the intent is sent', { phase: 'writing', intent: 'flying' });
}

function landIntent(view: View): Steps {
  const { state, number, attempt } = view;
  if (attempt.intent !== 'flying') return [];
  if (state.row.phase !== 'absent')
    return step(view, 'the intent is refused', { intent: 'refused' });
  const row = { phase: 'pending', token: number } as const;
  return step(view, 'the intent lands', { intent: 'landed' }, row);
}

/** The copy may outlive the row that the first one wrote and land a second time. */
function copyIntent(view: View): Steps {
  const { state, number, attempt } = view;
  if (attempt.copy === 'none' && attempt.phase === 'writing') {
    return step(view, 'sends a copy of the intent', { copy: 'flying' });
  }
  if (attempt.copy !== 'flying') return [];
  if (state.row.phase !== 'absent') return step(view, 'the copy is refused', { copy: 'gone' });
  const row = { phase: 'pending', token: number } as const;
  return step(view, 'the copy lands', { copy: 'gone' }, row);
}

/** The keeper hears the answer to the intent, or reads the row back. */
function settleIntent(view: View, options: RequestOptions): Steps {
  const { state, number, attempt } = view;
  if (attempt.phase !== 'writing') return [];
  if (options.mutation === 'read-back') {
    return step(view, 'has no answer and counts the intent as written', { phase: 'ready' });
  }
  const { phase, token } = state.row;
  if (token === number) return step(view, 'knows that the intent is written', { phase: 'ready' });
  if (phase === 'done') return end(view, 'finds the answer', 'whole');
  if (phase === 'absent') {
    if (attempt.intent !== 'refused') return [];
    return step(view, 'finds the row gone and sends the intent again', { intent: 'flying' });
  }
  if (options.mutation === 'repeat-check') {
    return step(view, 'meets an unfinished intent and goes on', { phase: 'ready' });
  }
  return end(view, 'meets an unfinished intent', 'unknown');
}

function dispatch(view: View, options: RequestOptions): Steps {
  const { phase } = view.attempt;
  const isEarly = options.mutation === 'intent-first' && phase === 'writing';
  if (phase !== 'ready' && !isEarly) return [];
  return step(view, 'is dispatched', { phase: 'dispatched', dispatch: 'flying' });
}

function serve(view: View): Steps {
  const { attempt } = view;
  const { runs, stray } = attempt;
  const steps: Steps = [];
  if (attempt.dispatch === 'flying') {
    steps.push(...step(view, 'runs', { dispatch: 'ran', runs: runs + 1 }));
    steps.push(...step(view, 'is refused by the server', { dispatch: 'refused' }));
  }
  if (stray > 0) steps.push(...step(view, 'runs late', { stray: stray - 1, runs: runs + 1 }));
  return steps;
}

function hear(view: View): Steps {
  const { attempt } = view;
  if (attempt.phase !== 'dispatched') return [];
  const idle = { dispatch: 'none' } as const;
  if (attempt.dispatch === 'ran')
    return end(view, 'is answered', 'whole', { ...idle, outcome: 'answer' });
  if (attempt.dispatch !== 'refused') return [];
  return [
    ...step(view, 'hears that it was not run', { ...idle, phase: 'ready' }),
    ...end(view, 'hears that it was not run', 'not run', { ...idle, outcome: 'removal' }),
  ];
}

function loseConnection(view: View, options: RequestOptions): Steps {
  const { attempt } = view;
  if (attempt.phase !== 'dispatched' || attempt.stray >= MAX_STRAY) return [];
  const isFlying = attempt.dispatch === 'flying';
  const change = { dispatch: 'none', stray: attempt.stray + Number(isFlying) } as const;
  const text = 'loses the connection to the server';
  if (options.mutation !== 'proof-of-not-run') return end(view, text, 'unknown', change);
  return [
    ...step(view, `${text} and tries again`, { ...change, phase: 'ready' }),
    ...end(view, text, 'not run', { ...change, outcome: 'removal' }),
  ];
}

/** Before the dispatch, "not run" is true; an intent that lands later is never dispatched. */
function giveUp(view: View): Steps {
  const { phase } = view.attempt;
  if (phase === 'writing') return end(view, 'is given up', 'not run');
  if (phase === 'ready') return end(view, 'is given up', 'not run', { outcome: 'removal' });
  return [];
}

function crash(view: View): Steps {
  const { attempt } = view;
  if (['outside', 'ended'].includes(attempt.phase)) return [];
  const isFlying = attempt.dispatch === 'flying';
  const change = { dispatch: 'none', stray: attempt.stray + Number(isFlying) } as const;
  return end(view, 'its keeper crashes', 'unknown', change);
}

function landOutcome(view: View): Steps {
  const { state, number, attempt } = view;
  if (attempt.outcome === 'none') return [];
  if (state.row.token !== number)
    return step(view, 'its last write is refused', { outcome: 'none' });
  const row: IntentRow =
    attempt.outcome === 'answer'
      ? { phase: 'done', token: number }
      : { phase: 'absent', token: -1 };
  return step(view, `its ${attempt.outcome} is written`, { outcome: 'none' }, row);
}
