import type { UnusableEntry } from '@boragepoint/platform';

import type { RouterLog } from './router-log.js';

/** Longest name of an availability zone that is taken. */
const MAX_ZONE_LENGTH = 200;
/**
 * Time after the store came back from an older copy during which a missing evacuation is not taken
 * as ended, in milliseconds: the operator's latest writes may be missing until they are repeated.
 */
const STORE_RETURN_GRACE_MS = 10_000;

/** Availability zones that are being evacuated, as the operator's table says. */
export interface Evacuations {
  zones(): ReadonlySet<string>;
  /** Takes the zones of all rows of a snapshot; others are no longer evacuated. */
  replaceAll(zones: readonly string[]): void;
  begin(zone: string): void;
  end(zone: string): void;
  /** To be called before the first rows that the store has after its return from an older copy. */
  noteReturn(): void;
}

/** Dependencies of {@link createEvacuations}. */
export interface EvacuationsOptions {
  /** Table that the rows belong to. */
  readonly table: string;
  /** Returns whether the settings name an availability zone. */
  isKnownZone(zone: string): boolean;
  readonly log: Pick<RouterLog, 'info' | 'warn'>;
  /** Called with each row whose zone does not exist. */
  onUnusable(entry: UnusableEntry): void;
  /** Called after each change, with the zones whose evacuation has begun. */
  onChange(begun: readonly string[]): void;
  /** Monotonic time in milliseconds. */
  now(): number;
}

/** Creates the evacuations of a router, without any at first. */
export function createEvacuations(options: EvacuationsOptions): Evacuations {
  const { log } = options;
  const zones = new Set<string>();
  /** Zones whose rows were missing after the store's return, and the timers that end them. */
  const missing = new Map<string, NodeJS.Timeout>();
  let returnedAt = -Infinity;

  function reject(zone: string, reason: string): void {
    options.onUnusable({ source: options.table, key: `evacuation of '${zone}'`, reason });
  }

  /** Returns whether a row names a zone that servers can be in; tells what is odd about it. */
  function isUsable(zone: string): boolean {
    if (zone === '' || zone.length > MAX_ZONE_LENGTH) {
      reject(zone, 'not the name of an availability zone');
      return false;
    }
    // Servers may have registered in a zone that the settings lack, so that it is evacuated too.
    if (!options.isKnownZone(zone)) reject(zone, 'the settings have no such availability zone');
    return true;
  }

  /** Takes the zone of a row; returns whether it is new. */
  function add(zone: string): boolean {
    if (!isUsable(zone)) return false;
    clearTimeout(missing.get(zone));
    missing.delete(zone);
    if (zones.has(zone)) return false;
    zones.add(zone);
    if (options.isKnownZone(zone)) log.warn('availability zone evacuated', { zone });
    return true;
  }

  function remove(zone: string): boolean {
    clearTimeout(missing.get(zone));
    missing.delete(zone);
    if (!zones.delete(zone)) return false;
    log.info('evacuation of availability zone ended', { zone });
    return true;
  }

  /** Ends an evacuation whose row is missing, at once or when the operator had time to repeat it. */
  function removeMissing(zone: string): boolean {
    const leftMs = returnedAt + STORE_RETURN_GRACE_MS - options.now();
    if (leftMs <= 0) return remove(zone);
    if (missing.has(zone)) return false;
    log.warn('evacuation kept after the return of the store', {
      zone,
      keptForMs: Math.round(leftMs),
    });
    const timer = setTimeout(() => {
      if (remove(zone)) options.onChange([]);
    }, leftMs);
    timer.unref();
    missing.set(zone, timer);
    return false;
  }

  return {
    zones: () => zones,
    replaceAll(present) {
      const kept = new Set(present);
      const ended = [...zones].filter((it) => !kept.has(it) && removeMissing(it));
      const begun = present.filter(add);
      if (ended.length + begun.length > 0) options.onChange(begun);
    },
    begin(zone) {
      if (add(zone)) options.onChange([zone]);
    },
    end(zone) {
      if (removeMissing(zone)) options.onChange([]);
    },
    noteReturn() {
      returnedAt = options.now();
    },
  };
}
