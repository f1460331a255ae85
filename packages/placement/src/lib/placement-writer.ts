import { setTimeout as sleep } from 'node:timers/promises';

import { createWakeSignal } from '@boragepoint/platform';

import type { HandOverNote, LeaderLease } from './leader-lease.js';
import type { Placement } from './placement-record.js';

/** Time between two writes while nothing changes; keeps the tenure running. */
const LEASE_RENEWAL_INTERVAL_MS = 1_000;
const RETRY_MS = 150;

/** Keeps the row up to date with one write at a time. */
export interface PlacementWriter {
  /** Resolves once everything decided before the call is stored; false when the seat is lost. */
  persist(): Promise<boolean>;
  /** Runs until the signal aborts or the seat is lost. */
  run(signal: AbortSignal): Promise<void>;
  /** Writes once more, and gives the seat up; for after the run. */
  handOver(note: HandOverNote): Promise<void>;
}

/** What a writer needs. */
export interface PlacementWriterOptions {
  readonly leaderLease: LeaderLease;
  /** The content of the row as of now, but for its version. */
  content(): Omit<Placement, 'leaderLease' | 'version'>;
  readonly firstVersion: number;
  onUnconfirmed(): void;
}

interface PendingCall {
  readonly callNumber: number;
  resolve(stored: boolean): void;
}

/** Creates a writer; nothing is written before it runs. */
export function createPlacementWriter(options: PlacementWriterOptions): PlacementWriter {
  const { leaderLease } = options;
  const wakeSignal = createWakeSignal();
  const pendingCalls = new Set<PendingCall>();
  let version = options.firstVersion;
  let callCount = 0;
  let isLost = false;

  function settle(stored: boolean, upTo: number): void {
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
      settle(true, upTo);
      if (pendingCalls.size === 0) await wakeSignal.wait(LEASE_RENEWAL_INTERVAL_MS);
      return;
    }
    if (outcome === 'lost') {
      isLost = true;
      return;
    }
    options.onUnconfirmed();
    await sleep(RETRY_MS);
  }

  return {
    persist() {
      if (isLost) return Promise.resolve(false);
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
      while (!signal.aborted && !isLost) await writeOnce();
      signal.removeEventListener('abort', wake);
      isLost = true;
      settle(false, Infinity);
    },
    async handOver(note) {
      version += 1;
      await leaderLease.write({ ...options.content(), version }, note);
    },
  };
}
