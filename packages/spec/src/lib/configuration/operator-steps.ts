import type { Step } from '../model/explore.js';
import type {
  ConfigurationOptions,
  ConfigurationState,
  OperatorState,
} from './configuration-state.js';

type Steps = Step<ConfigurationState>[];

interface OperatorView {
  readonly state: ConfigurationState;
  readonly number: number;
  readonly operator: OperatorState;
}

/** Steps of one operator, and of the table when it processes the operator's write. @internal */
export function operatorSteps(view: OperatorView, options: ConfigurationOptions): Steps {
  return [
    ...submit(view),
    ...applyWrite(view, options),
    ...receiveAnswer(view),
    ...readBack(view, options),
    ...collectReports(view),
    ...confirmInForce(view),
  ];
}

function operatorStep(
  { state, number }: OperatorView,
  text: string,
  change: Partial<OperatorState>,
  rest: Partial<ConfigurationState> = {},
): Steps {
  const operators = state.operators.map((it, index) =>
    index === number ? { ...it, ...change } : it,
  );
  return [{ name: `operator ${number} ${text}`, next: { ...state, ...rest, operators } }];
}

function submit(view: OperatorView): Steps {
  if (view.operator.phase !== 'idle') return [];
  const baseVersion = view.state.writers.length;
  return operatorStep(view, `reads version ${baseVersion} and sends a write`, {
    phase: 'writing',
    baseVersion,
    write: 'in flight',
  });
}

function applyWrite(view: OperatorView, options: ConfigurationOptions): Steps {
  const { state, number, operator } = view;
  const { writers } = state;
  if (operator.write !== 'in flight') return [];
  if (options.mutation === 'version-check') {
    // The write replaces the version that follows its base version, if there is one already.
    const overwritten = [...writers.slice(0, operator.baseVersion), number];
    return operatorStep(
      view,
      `writes version ${overwritten.length}`,
      { write: 'applied' },
      { writers: overwritten },
    );
  }
  if (writers.length !== operator.baseVersion)
    return operatorStep(view, 'is refused', { write: 'refused' });
  const next = [...writers, number];
  return operatorStep(
    view,
    `writes version ${next.length}`,
    { write: 'applied' },
    { writers: next },
  );
}

function accept(view: OperatorView, text: string): Steps {
  const version = view.operator.baseVersion + 1;
  const { accepted } = view.state;
  const isHigher = version > accepted.version;
  const next = isHigher ? { version, writer: view.number } : accepted;
  return operatorStep(view, text, { phase: 'accepted' }, { accepted: next });
}

function receiveAnswer(view: OperatorView): Steps {
  const { operator } = view;
  if (operator.phase !== 'writing') return [];
  if (operator.write === 'applied') return accept(view, 'is told that its write took effect');
  if (operator.write !== 'refused') return [];
  return operatorStep(view, 'is told that its write was refused', { phase: 'refused' });
}

/** Determines the outcome of a write whose answer was lost, from the writers that the row names. */
function readBack(view: OperatorView, options: ConfigurationOptions): Steps {
  const { state, number, operator } = view;
  if (operator.phase !== 'writing') return [];
  if (options.mutation === 'read-back')
    return accept(view, 'has no answer and assumes that its write took effect');
  const isSettled = state.writers.length > operator.baseVersion;
  if (!isSettled) return [];
  const index = options.mutation === 'writer-history' ? -1 : operator.baseVersion;
  if (state.writers.at(index) === number) return accept(view, 'reads its write back');
  return operatorStep(view, 'reads that its write was refused', { phase: 'refused' });
}

/** The operator receives the reports of the routers one at a time. */
function collectReports(view: OperatorView): Steps {
  const { state, operator } = view;
  if (operator.phase !== 'accepted') return [];
  return state.routers.flatMap((router, index) => {
    const isWanted = router.isReady && router.version > operator.baseVersion;
    if (!isWanted || operator.reports[index] === true) return [];
    const reports = operator.reports.with(index, true);
    return operatorStep(
      view,
      `receives the report of router ${index} about version ${router.version}`,
      {
        reports,
      },
    );
  });
}

function confirmInForce(view: OperatorView): Steps {
  const { state, operator } = view;
  if (operator.phase !== 'accepted') return [];
  // A router that is not ready serves no requests, so its report is not needed.
  const haveAllReported = state.routers.every(
    (it, index) => !it.isReady || operator.reports[index],
  );
  if (!haveAllReported) return [];
  const inForce = Math.max(state.inForce, operator.baseVersion + 1);
  const text = `is told that version ${operator.baseVersion + 1} is in force`;
  return operatorStep(view, text, { phase: 'in force' }, { inForce });
}
