/** Something from the store or from another router that can't be used. */
export interface UnusableEntry {
  /** Table of the store, or kind of message. */
  readonly source: string;
  /** Key of the row, or what else names it. */
  readonly key: string;
  /** Why it can't be used. */
  readonly reason: string;
}

/** An unusable entry to be logged. */
export interface ToldEntry extends UnusableEntry {
  /** Number of other unusable entries that have not been told. */
  readonly untold: number;
}

/** Maximum number of unusable entries that are remembered; the oldest are forgotten first. */
const MAX_REMEMBERED = 4_000;
/** Maximum number of unusable entries that are told within one window. */
const MAX_TOLD_PER_WINDOW = 20;
const WINDOW_MS = 10_000;
/** Maximum length of a key or a reason that is told. */
const MAX_TEXT_LENGTH = 200;

/** Options of {@link createUnusableEntries}. */
export interface UnusableEntriesOptions {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Called once for each entry and reason that is not remembered. */
  count(source: string): void;
  /** Called at most once for each entry and reason that is remembered. */
  tell(entry: ToldEntry): void;
}

/** Tells unusable entries once each, however often they arrive. */
export interface UnusableEntries {
  readonly note: (entry: UnusableEntry) => void;
}

function shorten(text: string): string {
  return text.length > MAX_TEXT_LENGTH ? `${text.slice(0, MAX_TEXT_LENGTH)}...` : text;
}

/** Creates an empty memory of unusable entries. */
export function createUnusableEntries(options: UnusableEntriesOptions): UnusableEntries {
  /** Whether each remembered entry has been told, oldest first. */
  const remembered = new Map<string, boolean>();
  let untold = 0;
  let windowStart = -Infinity;
  let toldInWindow = 0;

  function forgetOldest(): void {
    for (const [key, wasTold] of remembered) {
      if (remembered.size <= MAX_REMEMBERED) return;
      remembered.delete(key);
      if (!wasTold) untold -= 1;
    }
  }

  /** Takes room for one more line in the present window. */
  function takeRoom(): boolean {
    const now = options.now();
    if (now >= windowStart + WINDOW_MS) {
      windowStart = now;
      toldInWindow = 0;
    }
    toldInWindow += 1;
    return toldInWindow <= MAX_TOLD_PER_WINDOW;
  }

  return {
    note({ source, key, reason }) {
      const entry = { source, key: shorten(key), reason: shorten(reason) };
      const id = JSON.stringify(Object.values(entry));
      const wasTold = remembered.get(id);
      if (wasTold === true) return;
      if (wasTold === undefined) {
        options.count(source);
        untold += 1;
        remembered.set(id, false);
        forgetOldest();
      }
      if (!takeRoom()) return;
      remembered.set(id, true);
      untold -= 1;
      options.tell({ ...entry, untold });
    },
  };
}
