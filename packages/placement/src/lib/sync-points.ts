/**
 * How far this router and each other one know each other's numbered changes, by address. A number
 * counts only for the process that it was said to or by.
 */
export interface SyncPoints {
  /** Last change of this router that the router at an address knows; 0 for none. */
  sentTo(address: string): number;
  /** Last change of the router at an address that this one knows; 0 for none. */
  receivedFrom(address: string): number;
  noteSent(address: string, change: number): void;
  /**
   * Records which process answers at an address, by its start in milliseconds; returns false if it
   * has replaced the one that was known, which forgets the numbers.
   */
  noteProcess(address: string, startedMs: number): boolean;
  /** Notes what a router has answered to a message that included all changes up to `sentUpTo`. */
  noteAnswer(address: string, answer: SyncAnswer): void;
  /** Merges what the router at an address sent, so that it is not sent back. */
  mergeFrom<T>(address: string, change: () => number, merge: () => T): T;
}

/** An answer of another router, as far as numbered changes are concerned. */
export interface SyncAnswer {
  /** Start of the answering process, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
  /** Last change of this router that the message included. */
  readonly sentUpTo: number;
  /** Last change of the other router that the answer includes. */
  readonly receivedUpTo: number;
}

/** Creates points that know of no other router. */
export function createSyncPoints(): SyncPoints {
  const sent = new Map<string, number>();
  const received = new Map<string, number>();
  const processes = new Map<string, number>();
  const sentTo = (address: string) => sent.get(address) ?? 0;

  function noteProcess(address: string, startedMs: number): boolean {
    const before = processes.get(address);
    processes.set(address, startedMs);
    if (before === undefined || before === startedMs) return true;
    sent.delete(address);
    received.delete(address);
    return false;
  }

  return {
    sentTo,
    receivedFrom: (address) => received.get(address) ?? 0,
    noteSent(address, change) {
      sent.set(address, change);
    },
    noteProcess,
    noteAnswer(address, { startedMs, sentUpTo, receivedUpTo }) {
      if (!noteProcess(address, startedMs)) return;
      sent.set(address, sentUpTo);
      received.set(address, receivedUpTo);
    },
    mergeFrom(address, change, merge) {
      const before = change();
      const result = merge();
      if (sentTo(address) >= before) sent.set(address, change());
      return result;
    },
  };
}
