import { stateKey } from './state-key.js';

/** A transition that is possible in a state. */
export interface Step<S> {
  readonly name: string;
  readonly next: S;
}

/** A transition system. States are plain data; equal states have equal fields in the same order. */
export interface Model<S> {
  readonly initial: S;
  /** Returns every step that is possible in a state. */
  steps(state: S): Step<S>[];
  /** Returns the message of the invariant that the state violates, or `undefined`. */
  violation(state: S): string | undefined;
  /**
   * Predicates that must hold in at least one reachable state each. They show that the invariants
   * are not satisfied only because nothing happens.
   */
  readonly goals: Readonly<Record<string, (state: S) => boolean>>;
}

/** A violated invariant and a shortest trace to it, as the names of its steps. */
export interface Counterexample {
  readonly message: string;
  readonly trace: readonly string[];
}

/** Result of an exploration. */
export interface Exploration {
  /** Number of distinct states found. */
  readonly states: number;
  /** Number of steps to the last state visited. */
  readonly depth: number;
  /** Number of visited states that satisfy each goal. */
  readonly goals: Readonly<Record<string, number>>;
  readonly counterexample: Counterexample | undefined;
}

interface Visit<S> {
  readonly state: S;
  readonly depth: number;
  readonly step: string;
  readonly from: Visit<S> | undefined;
}

/** Visits every reachable state breadth-first and stops at the first violated invariant. */
export function explore<S extends object>(model: Model<S>): Exploration {
  const goals = Object.fromEntries(Object.keys(model.goals).map((name) => [name, 0]));
  const seen = new Set([stateKey(model.initial)]);
  let frontier: Visit<S>[] = [{ state: model.initial, depth: 0, step: '', from: undefined }];
  let depth = 0;
  while (frontier.length > 0) {
    const next: Visit<S>[] = [];
    for (const visit of frontier) {
      depth = visit.depth;
      countGoals(model, visit.state, goals);
      const message = model.violation(visit.state);
      const counterexample = message === undefined ? undefined : { message, trace: traceOf(visit) };
      if (counterexample) return { states: seen.size, depth, goals, counterexample };
      for (const step of model.steps(visit.state)) {
        const key = stateKey(step.next);
        if (seen.has(key)) continue;
        seen.add(key);
        next.push({ state: step.next, depth: depth + 1, step: step.name, from: visit });
      }
    }
    frontier = next;
  }
  return { states: seen.size, depth, goals, counterexample: undefined };
}

function countGoals<S>(model: Model<S>, state: S, goals: Record<string, number>): void {
  for (const [name, isReached] of Object.entries(model.goals)) {
    if (isReached(state)) goals[name] = (goals[name] ?? 0) + 1;
  }
}

function traceOf<S>(visit: Visit<S>): string[] {
  return visit.from === undefined ? [] : [...traceOf(visit.from), visit.step];
}
