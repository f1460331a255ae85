import type { Figure } from '../faults/fault-case.js';

/** How a scenario is run. */
export interface ScenarioOptions {
  readonly seed: number;
  /** Length of the measured span in seconds; each scenario says what it spans. */
  readonly seconds: number | undefined;
}

/** One measured line: JSON for programs, a row of a table for people. */
export type Row = Readonly<Record<string, string | number>>;

/** Takes a line as soon as it is measured; lines of one table have the same columns. */
export type Emit = (table: string, row: Row) => void;

/** A measurement against real processes on the loopback address. */
export interface Scenario {
  readonly name: string;
  /** What is measured, in one line. */
  readonly about: string;
  /** Measures and returns the figures; those with bounds are the targets. */
  run(options: ScenarioOptions, emit: Emit): Promise<Figure[]>;
}

/** Rounds to three digits behind the point. */
export function round(value: number): number {
  return Number(value.toFixed(3));
}
