import type { LeaseAnswer, ShardEpoch } from '@boragepoint/platform';

import type { Assignment } from './table-rows.js';

interface Release {
  readonly shard: number;
  readonly epoch: number;
  wasSent: boolean;
  resolve(): void;
}

/** Shards that a backend server is asked to release, until their new owners are recorded. */
export interface ReleaseList {
  has(shard: number, epoch: number): boolean;
  /** Returns the releases to ask for in the next renewal, and marks them as sent. */
  list(service: string): ShardEpoch[];
  /** Resolves the releases that the answer confirms. */
  confirm(answer: LeaseAnswer): void;
  /**
   * Adds releases; resolves when the backend server has confirmed all, or the signal aborts.
   * @param onAdded Called once the releases are in the list.
   */
  release(
    assignments: readonly Assignment[],
    onAdded: () => void,
    signal: AbortSignal,
  ): Promise<void>;
  /** Removes the releases of shards whose move has ended. */
  remove(shards: readonly { readonly shard: number }[]): void;
}

function isConfirmed(release: Release, answer: LeaseAnswer): boolean {
  const stillInUse = [...answer.held, ...answer.releasing];
  return release.wasSent && !stillInUse.some((it) => it.shard === release.shard);
}

/** Creates an empty list. */
export function createReleaseList(): ReleaseList {
  const releases = new Map<number, Release>();

  function addRelease({ shard, epoch }: Assignment): Promise<void> {
    return new Promise((resolve) => {
      releases.set(shard, { shard, epoch, wasSent: false, resolve });
    });
  }

  return {
    has: (shard, epoch) => releases.get(shard)?.epoch === epoch,
    list(service) {
      for (const release of releases.values()) release.wasSent = true;
      return [...releases.values()].map(({ shard, epoch }) => ({ service, shard, epoch }));
    },
    confirm(answer) {
      for (const release of releases.values()) {
        if (isConfirmed(release, answer)) release.resolve();
      }
    },
    async release(assignments, onAdded, signal) {
      const confirmed = assignments.map(addRelease);
      onAdded();
      const resolveAll = () => {
        for (const { shard } of assignments) releases.get(shard)?.resolve();
      };
      signal.addEventListener('abort', resolveAll);
      await Promise.all(confirmed);
      signal.removeEventListener('abort', resolveAll);
    },
    remove(shards) {
      for (const { shard } of shards) releases.delete(shard);
    },
  };
}
