import { validate, version } from 'uuid';

import type { LedgerConfig } from './ledger-config.js';

const MAX_KEY_LENGTH = 255;
const PRINTABLE = /^[\x21-\x7e]+$/;
const TIME_ORDERED_UUID_VERSION = 7;
const TIME_HEX_DIGITS = 12;
const HEX_RADIX = 16;

/** Returns the timestamp of a time-ordered UUID in milliseconds; `undefined` for other keys. */
export function timestampOfKey(idempotencyKey: string): number | undefined {
  if (!validate(idempotencyKey) || version(idempotencyKey) !== TIME_ORDERED_UUID_VERSION) {
    return undefined;
  }
  return parseInt(idempotencyKey.replaceAll('-', '').slice(0, TIME_HEX_DIGITS), HEX_RADIX);
}

/** Whether a key may be used, and until which wall-clock time its record must be kept. */
export type KeyCheck =
  | { readonly kind: 'usable'; readonly expiresAtMs: number }
  | { readonly kind: 'expired' }
  | { readonly kind: 'bad-key'; readonly message: string };

/**
 * Checks a caller's key. A time-ordered key is refused permanently before its record may be
 * removed, whatever the caller's clock says: a record is kept for `clockSkewMs` longer than its key
 * is accepted. A key without a timestamp becomes usable again once its record is removed.
 */
export function checkKey(idempotencyKey: string, wallNow: number, cfg: LedgerConfig): KeyCheck {
  if (idempotencyKey.length > MAX_KEY_LENGTH || !PRINTABLE.test(idempotencyKey)) {
    return { kind: 'bad-key', message: 'must be 1 to 255 printable ASCII characters' };
  }
  const createdAtMs = timestampOfKey(idempotencyKey);
  if (createdAtMs === undefined) return usableKey(wallNow, cfg);
  if (createdAtMs > wallNow + cfg.clockSkewMs) {
    return { kind: 'bad-key', message: 'its time lies in the future' };
  }
  if (createdAtMs + cfg.retentionMs < wallNow) return { kind: 'expired' };
  return usableKey(Math.max(createdAtMs, wallNow), cfg);
}

function usableKey(timeMs: number, cfg: LedgerConfig): KeyCheck {
  return { kind: 'usable', expiresAtMs: timeMs + cfg.retentionMs + cfg.clockSkewMs };
}
