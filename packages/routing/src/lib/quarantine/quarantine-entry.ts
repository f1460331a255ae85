import { createHash } from 'node:crypto';

/** State of one request fingerprint, in the form that peers exchange. */
export interface QuarantineEntry {
  readonly service: string;
  readonly fingerprint: string;
  /**
   * True if the request was in flight when its connection to a backend server was lost; it runs
   * alone next. False if it is quarantined.
   */
  readonly suspect: boolean;
  /** True if an operator or an answered run released it. */
  readonly released: boolean;
  /** Wall-clock time at which the entry expires. */
  readonly expiresAtMs: number;
  /** Wall-clock time of the change; the newest change takes precedence. */
  readonly changedAtMs: number;
}

/** The parts of a request that identify it when its caller sends it again. */
export interface FingerprintInput {
  readonly service: string;
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  readonly body: Uint8Array;
}

const FINGERPRINT_HEX_DIGITS = 32;

/** Hashes a request. Headers are excluded, since they may differ in a repeat. */
export function fingerprintOf(req: FingerprintInput): string {
  const head = JSON.stringify([req.service, req.method, req.path]);
  const hash = createHash('sha256').update(head).update('\n').update(req.body);
  return hash.digest('hex').slice(0, FINGERPRINT_HEX_DIGITS);
}

/** Precedence among changes of the same time: released, then quarantined, then suspect. */
function rank(entry: QuarantineEntry): number {
  const releasedRank = entry.released ? 2 : 0;
  return releasedRank + (entry.suspect ? 0 : 1);
}

/** True if an entry replaces the stored one. The order is total, so all routers agree. */
export function supersedes(next: QuarantineEntry, stored: QuarantineEntry | undefined): boolean {
  if (stored === undefined) return true;
  if (next.changedAtMs !== stored.changedAtMs) return next.changedAtMs > stored.changedAtMs;
  if (rank(next) !== rank(stored)) return rank(next) > rank(stored);
  return next.expiresAtMs > stored.expiresAtMs;
}
