import { createChangeSignal } from './change-signal.js';
import type { HeldRange } from './held-range.js';
import type { PlacementView, RangeView } from './placement-view.js';
import type { RangeTable } from './range-table.js';

/** Time over which changes are coalesced before waiting routers are notified, in milliseconds. */
const COALESCE_MS = 30;

/** Numbers the changes of a placement and notifies waiting tasks. */
export interface ChangeFeed {
  /** Number of the last change. */
  last(): number;
  /** Records a change of a range, or of a whole table. */
  note(range?: HeldRange): void;
  view(): PlacementView;
  /** Ranges of all services that changed after the change with a number. */
  since(change: number): ReadonlyMap<string, readonly RangeView[]>;
  /** Waits for a change after `known`, for at most `waitMs` milliseconds. */
  wait(known: number, waitMs: number): Promise<void>;
  /** Wakes all waiting tasks; later waits return immediately. */
  close(): void;
}

function viewOf({ first, last, owner, granted }: HeldRange): RangeView {
  return { first, last, owner: owner?.incarnation.server, granted };
}

/** Creates the feed of one epoch; changes are numbered from `firstChange`. */
export function createChangeFeed(
  epoch: number,
  tables: ReadonlyMap<string, RangeTable>,
  firstChange: number,
): ChangeFeed {
  const changeSignal = createChangeSignal();
  let change = firstChange;
  let current: PlacementView | undefined;
  let wakeTimer: NodeJS.Timeout | undefined;
  let isClosed = false;

  function wakeAll(): void {
    clearTimeout(wakeTimer);
    wakeTimer = undefined;
    changeSignal.wakeAll();
  }

  return {
    last: () => change,
    note(range) {
      change += 1;
      if (range) range.change = change;
      current = undefined;
      wakeTimer ??= setTimeout(wakeAll, COALESCE_MS);
    },
    view() {
      const services = () =>
        new Map([...tables].map(([name, { ranges }]) => [name, ranges.map(viewOf)] as const));
      current ??= { epoch, change, services: services() };
      return current;
    },
    since(known) {
      const newer = [...tables].map(([name, { ranges }]) => {
        const changed = ranges.filter((it) => it.change > known);
        return [name, changed.map(viewOf)] as const;
      });
      return new Map(newer.filter(([, ranges]) => ranges.length > 0));
    },
    async wait(known, waitMs) {
      if (change > known || isClosed) return;
      await changeSignal.wait(waitMs);
    },
    close() {
      isClosed = true;
      wakeAll();
    },
  };
}
