import { createHash } from 'node:crypto';

import type { RequestIdentity } from '@boragepoint/placement';

import type { CallerRequest } from './caller-request.js';

const REQUEST_HASH_CHARS = 12;
const CALLER_HASH_CHARS = 8;

/** Cached identities, so that each body is hashed once. */
const identityCache = new WeakMap<CallerRequest, RequestIdentity>();

/** Returns the hashes that identify equal requests and their caller. */
export function identityOf(req: CallerRequest): RequestIdentity {
  const cached = identityCache.get(req);
  if (cached) return cached;
  const hash = createHash('sha256');
  hash.update(`${req.method} ${req.route.cfg.host} ${req.target}\n`);
  if (req.body) hash.update(req.body);
  const caller = createHash('sha256').update(req.caller).digest('base64url');
  const identity = {
    request: hash.digest('base64url').slice(0, REQUEST_HASH_CHARS),
    caller: caller.slice(0, CALLER_HASH_CHARS),
  };
  identityCache.set(req, identity);
  return identity;
}
