import { createHash, timingSafeEqual } from 'node:crypto';

import type { MiddlewareHandler } from 'hono';

import { sendError } from './operator-answer.js';

const BEARER = /^Bearer +(\S+) *$/i;

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/**
 * Lets only requests with the token pass. Digests of equal length are compared in constant time, so
 * the time tells nothing about the token. An empty token lets nothing pass. @internal
 */
export function requireBearerToken(token: string): MiddlewareHandler {
  const expected = digest(token);
  return async (c, next) => {
    const given = BEARER.exec(c.req.header('authorization') ?? '')?.[1] ?? '';
    const isEqual = timingSafeEqual(digest(given), expected);
    if (isEqual && token !== '') {
      await next();
      return;
    }
    c.header('www-authenticate', 'Bearer');
    return sendError(c, 'unauthorized', 'the bearer token is missing or wrong');
  };
}
