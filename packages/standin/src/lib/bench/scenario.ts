import type { Figure } from '../faults/fault-case.js';

/** Options of a scenario run. */
export interface ScenarioOptions {
  readonly seed: number;
  /** Length of the measured span in seconds; each scenario defines what it covers. */
  readonly seconds: number | undefined;
}

/** One row of results, printed both as a JSON line and as a row of a text table. */
export type Row = Readonly<Record<string, string | number>>;

/** Emits a row as soon as it is measured; rows of one table have the same columns. */
export type Emit = (table: string, row: Row) => void;

/** A measurement against real processes on the loopback address. */
export interface Scenario {
  readonly name: string;
  /** One-line description of what is measured. */
  readonly about: string;
  /** Runs the measurement and returns its figures; those with bounds are targets. */
  run(options: ScenarioOptions, emit: Emit): Promise<Figure[]>;
}

/** Rounds to three decimal places. */
export function round(value: number): number {
  return Number(value.toFixed(3));
}
