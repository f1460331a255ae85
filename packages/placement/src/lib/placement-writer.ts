import { setTimeout as sleep } from 'node:timers/promises';

import { createWakeSignal } from '@boragepoint/platform';

import type { HandOverNote, LeaderLease } from './leader-lease.js';
import type { Placement } from './placement-record.js';

/**
 * Time between two writes while nothing changes, which renew the leadership lease, in milliseconds.
 */
const LEASE_RENEWAL_INTERVAL_MS = 1_000;
/** Pause after a write whose outcome is unknown, in milliseconds. */
const RETRY_MS = 150;

/** Keeps the placement's row up to date, with one write at a time. */
export interface PlacementWriter {
  /**
   * Resolves to true once all decisions before the call are stored, to false if the leadership
   * lease is lost or `run` has ended before that.
   */
  persist(): Promise<boolean>;
  /** Writes until the signal aborts or the leadership lease is lost. */
  run(signal: AbortSignal): Promise<void>;
  /** Writes the row once more and releases the leadership lease; called after `run`. */
  handOver(note: HandOverNote): Promise<void>;
}

/** Options of {@link createPlacementWriter}. */
export interface PlacementWriterOptions {
  readonly leaderLease: LeaderLease;
  /** Returns the current content of the row, without its version. */
  content(): Omit<Placement, 'leaderLease' | 'version'>;
  /** Version of the placement before the first write. */
  readonly firstVersion: number;
  /** Called after a write whose outcome is unknown. */
  onUnconfirmed(): void;
}

interface PendingCall {
  /** Number of the call to `persist`. */
  readonly callNumber: number;
  resolve(stored: boolean): void;
}

/** Creates a writer; nothing is written before `run`. */
export function createPlacementWriter(options: PlacementWriterOptions): PlacementWriter {
  const { leaderLease } = options;
  const wakeSignal = createWakeSignal();
  const pendingCalls = new Set<PendingCall>();
  let version = options.firstVersion;
  let callCount = 0;
  /** True once the leadership lease is lost or `run` has ended. */
  let isClosed = false;

  /** Resolves the pending calls up to a number. */
  function resolveCalls(stored: boolean, upTo: number): void {
    for (const call of [...pendingCalls]) {
      if (call.callNumber > upTo) continue;
      pendingCalls.delete(call);
      call.resolve(stored);
    }
  }

  async function writeOnce(): Promise<void> {
    version += 1;
    const upTo = callCount;
    const outcome = await leaderLease.write({ ...options.content(), version });
    if (outcome === 'committed') {
      resolveCalls(true, upTo);
      if (pendingCalls.size === 0) await wakeSignal.wait(LEASE_RENEWAL_INTERVAL_MS);
      return;
    }
    if (outcome === 'lost') {
      isClosed = true;
      return;
    }
    options.onUnconfirmed();
    await sleep(RETRY_MS);
  }

  return {
    persist() {
      if (isClosed) return Promise.resolve(false);
      callCount += 1;
      const callNumber = callCount;
      return new Promise((resolve) => {
        pendingCalls.add({ callNumber, resolve });
        wakeSignal.wake();
      });
    },
    async run(signal) {
      const wake = () => {
        wakeSignal.wake();
      };
      signal.addEventListener('abort', wake);
      try {
        while (!signal.aborted && !isClosed) await writeOnce();
      } finally {
        signal.removeEventListener('abort', wake);
        isClosed = true;
        resolveCalls(false, Infinity);
      }
    },
    async handOver(note) {
      version += 1;
      await leaderLease.write({ ...options.content(), version }, note);
    },
  };
}
