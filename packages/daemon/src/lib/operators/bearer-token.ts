import { createHash, timingSafeEqual } from 'node:crypto';

import type { MiddlewareHandler } from 'hono';

import { sendError } from './operator-answer.js';

const BEARER = /^Bearer +(\S+) *$/i;

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/**
 * Creates middleware that rejects requests without the token. It compares digests of equal length
 * in constant time, so that the response time reveals nothing about the token. With an empty token,
 * it rejects every request. @internal
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
