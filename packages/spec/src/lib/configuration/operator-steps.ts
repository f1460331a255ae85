import type { Step } from '../model/explore.js';
import type {
  ConfigurationOptions,
  ConfigurationState,
  OperatorState,
} from './configuration-state.js';

type Steps = Step<ConfigurationState>[];

interface View {
  readonly state: ConfigurationState;
  readonly number: number;
  readonly operator: OperatorState;
}

/** Steps of one operator and of the table under its write. @internal */
export function operatorSteps(view: View, options: ConfigurationOptions): Steps {
  return [
    ...submit(view),
    ...land(view, options),
    ...hear(view),
    ...readBack(view, options),
    ...collect(view),
    ...confirm(view),
  ];
}

function step(
  { state, number }: View,
  text: string,
  change: Partial<OperatorState>,
  rest: Partial<ConfigurationState> = {},
): Steps {
  const operators = state.operators.map((it, index) =>
    index === number ? { ...it, ...change } : it,
  );
  return [{ name: `operator ${number} ${text}`, next: { ...state, ...rest, operators } }];
}

function submit(view: View): Steps {
  if (view.operator.phase !== 'idle') return [];
  const base = view.state.writers.length;
  return step(view, `reads version ${base} and sends a write`, {
    phase: 'writing',
    base,
    write: 'flying',
  });
}

function land(view: View, options: ConfigurationOptions): Steps {
  const { state, number, operator } = view;
  const { writers } = state;
  if (operator.write !== 'flying') return [];
  if (options.mutation === 'version-check') {
    // The write goes to the version after its base, whatever stands there.
    const over = [...writers.slice(0, operator.base), number];
    return step(view, `writes version ${over.length}`, { write: 'landed' }, { writers: over });
  }
  if (writers.length !== operator.base) return step(view, 'is refused', { write: 'refused' });
  const next = [...writers, number];
  return step(view, `writes version ${next.length}`, { write: 'landed' }, { writers: next });
}

function accept(view: View, text: string): Steps {
  const version = view.operator.base + 1;
  const { accepted } = view.state;
  const isHigher = version > accepted.version;
  const next = isHigher ? { version, writer: view.number } : accepted;
  return step(view, text, { phase: 'accepted' }, { accepted: next });
}

function hear(view: View): Steps {
  const { operator } = view;
  if (operator.phase !== 'writing') return [];
  if (operator.write === 'landed') return accept(view, 'hears that its write took effect');
  if (operator.write !== 'refused') return [];
  return step(view, 'hears that its write was refused', { phase: 'refused' });
}

/** Settles a write whose answer was lost, by the writers that the row remembers. */
function readBack(view: View, options: ConfigurationOptions): Steps {
  const { state, number, operator } = view;
  if (operator.phase !== 'writing') return [];
  if (options.mutation === 'read-back') return accept(view, 'counts its write as done');
  const isSettled = state.writers.length > operator.base;
  if (!isSettled) return [];
  const index = options.mutation === 'writer-history' ? -1 : operator.base;
  if (state.writers.at(index) === number) return accept(view, 'reads its write back');
  return step(view, 'reads that its write was refused', { phase: 'refused' });
}

/** The routers report one after the other. */
function collect(view: View): Steps {
  const { state, operator } = view;
  if (operator.phase !== 'accepted') return [];
  return state.routers.flatMap((router, index) => {
    const isWanted = router.isReady && router.version > operator.base;
    if (!isWanted || operator.reports[index] === true) return [];
    const reports = operator.reports.with(index, true);
    return step(view, `hears from router ${index} that it has version ${router.version}`, {
      reports,
    });
  });
}

function confirm(view: View): Steps {
  const { state, operator } = view;
  if (operator.phase !== 'accepted') return [];
  // A router that is not ready serves nobody and is not waited for.
  const hasAll = state.routers.every((it, index) => !it.isReady || operator.reports[index]);
  if (!hasAll) return [];
  const inForce = Math.max(state.inForce, operator.base + 1);
  const text = `is told that version ${operator.base + 1} is in force`;
  return step(view, text, { phase: 'in force' }, { inForce });
}
