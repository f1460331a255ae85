import { partitionPoint } from './partition-point.js';

/** A change of a run, with its number. */
export interface NumberedChange {
  readonly number: number;
  readonly run: string;
}

/** Changes in the order of their numbers: what is new after a number is found without a look at all of them. */
export interface ChangeLog {
  /** Adds a change; its number is above all others. */
  add(number: number, run: string): void;
  /** Changes with numbers above one, in order. */
  after(number: number): readonly NumberedChange[];
  /** Drops changes that are not the latest of their run once there are more than `most` in all. */
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
