import { setTimeout as sleep } from 'node:timers/promises';

import type { KeySpan } from '@boragepoint/platform';

import type { HeldRange } from './held-range.js';
import { type LeaderContext, hasEnded, orderRelease } from './leader-context.js';
import type { KnownServer } from './server-directory.js';

const MAX_KEY = 65_535;
/** Pause between two attempts, in milliseconds. */
const RETRY_MS = 100;
/** Time after which servers that do not answer are passed over, in milliseconds. */
const MAX_WAIT_MS = 1_500;

/** Returns the keys that are in none of some ranges, which must be in key order. */
export function spansBetween(ranges: readonly KeySpan[]): KeySpan[] {
  const spans: KeySpan[] = [];
  let first = 0;
  for (const range of ranges) {
    if (range.first > first) spans.push({ first, last: range.first - 1 });
    first = range.last + 1;
  }
  if (first <= MAX_KEY) spans.push({ first, last: MAX_KEY });
  return spans;
}

/** Releases a span at a server until it answers; returns false if it does not in time. */
async function releaseSpan(
  ctx: LeaderContext,
  { entry }: KnownServer,
  span: KeySpan,
  fence: number,
): Promise<boolean> {
  const incarnation = { server: entry.id, address: entry.address, startedMs: entry.startedMs };
  const deadline = ctx.clocks.monotonic() + MAX_WAIT_MS;
  while (!ctx.signal.aborted && !hasEnded(ctx, incarnation)) {
    const order = { ...span, fence };
    const outcome = await orderRelease(ctx, incarnation, order, MAX_WAIT_MS);
    if (outcome.kind === 'done' || outcome.kind === 'misdirected') return true;
    if (ctx.clocks.monotonic() >= deadline) return false;
    await sleep(RETRY_MS);
  }
  return true;
}

/**
 * Releases all keys of a service at every server but their owners. Called where the ranges are
 * known from other routers only: the last leader may have granted some to servers that nobody heard
 * of. Resolves to the ids of the servers that did not answer.
 */
export async function releaseOthers(
  ctx: LeaderContext,
  service: string,
  ranges: readonly HeldRange[],
): Promise<string[]> {
  const fence = ctx.nextFence();
  const silent = new Set<string>();
  const releases = ctx.directory.ofService(service).flatMap((server) => {
    const { id, startedMs } = server.entry;
    const owned = ranges.filter(
      ({ owner }) => owner?.incarnation.server === id && owner.incarnation.startedMs === startedMs,
    );
    return spansBetween(owned).map(async (span) => {
      if (!(await releaseSpan(ctx, server, span, fence))) silent.add(id);
    });
  });
  await Promise.all(releases);
  return [...silent];
}
