import type { QuarantineEntry as PeerEntry } from '@boragepoint/protocol';

import type { QuarantineEntry } from './quarantine-entry.js';

/** Fields of a `QuarantineEntry` message, for `create` or as part of a larger message. */
export type PeerEntryInit = Omit<PeerEntry, '$typeName' | '$unknown'>;

/** Converts an entry to the fields of its message to peers. */
export function toPeerEntry(entry: QuarantineEntry): PeerEntryInit {
  const { service, fingerprint, suspect, released } = entry;
  const expiresAtMs = BigInt(Math.trunc(entry.expiresAtMs));
  const changedAtMs = BigInt(Math.trunc(entry.changedAtMs));
  return { service, fingerprint, suspect, released, expiresAtMs, changedAtMs };
}

/** Converts the fields of a peer's message to an entry. */
export function fromPeerEntry(entry: PeerEntryInit): QuarantineEntry {
  const { service, fingerprint, suspect, released } = entry;
  const expiresAtMs = Number(entry.expiresAtMs);
  const changedAtMs = Number(entry.changedAtMs);
  return { service, fingerprint, suspect, released, expiresAtMs, changedAtMs };
}
