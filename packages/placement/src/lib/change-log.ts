import { partitionPoint } from './partition-point.js';

/** A change of a suspect run, with its sequence number. */
export interface NumberedChange {
  readonly number: number;
  readonly run: string;
}

/**
 * A log of changes in ascending order of their numbers, so that the changes after a number are
 * found by binary search.
 */
export interface ChangeLog {
  /** Appends a change; its number must be above those of all others. */
  add(number: number, run: string): void;
  /** Changes with a higher number, in ascending order. */
  after(number: number): readonly NumberedChange[];
  /**
   * Drops the changes that are not the latest of their run, if there are more than `maxEntries` in
   * all.
   */
  compact(isLatest: (change: NumberedChange) => boolean, maxEntries: number): void;
}

/** Creates an empty log. */
export function createChangeLog(): ChangeLog {
  let log: NumberedChange[] = [];

  const indexAfter = (number: number) => partitionPoint(log, (it) => it.number > number);

  return {
    add(number, run) {
      log.push({ number, run });
    },
    after: (number) => log.slice(indexAfter(number)),
    compact(isLatest, maxEntries) {
      if (log.length > maxEntries) log = log.filter(isLatest);
    },
  };
}
