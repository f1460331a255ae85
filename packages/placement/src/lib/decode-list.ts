import type { UnusableEntry } from '@boragepoint/platform';

/** Called with what can't be used, whenever it is received. */
export type OnUnusable = (entry: UnusableEntry) => void;

/** What a list is, and which router sent it. */
export interface ListOrigin {
  readonly source: string;
  /** Address of the sender. */
  readonly from: string;
}

/** Decodes the items of a list; those that can't be used are left out, and reported once together. */
export function decodeList<W, T>(
  items: readonly W[],
  decode: (item: W) => T | undefined,
  { source, from }: ListOrigin,
  onUnusable: OnUnusable | undefined,
): T[] {
  const decoded = items.flatMap((it) => decode(it) ?? []);
  if (decoded.length < items.length) {
    onUnusable?.({ source, key: from, reason: 'a part of the message can not be used' });
  }
  return decoded;
}
