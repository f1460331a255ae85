import type { Forwarder } from '@boragepoint/routing';
import { Code, ConnectError } from '@connectrpc/connect';

import { decodeAnswer, encodeRequest } from './forward-codec.js';
import type { PeerLinks } from './peer-links.js';

/** Time beyond the deadline of a forwarded request before the call to the peer times out. */
const DEADLINE_GRACE_MS = 100;

/** True when the peer refused the connection, so that the request was never sent. */
function isConnectionRefused(cause: unknown): boolean {
  if (!(cause instanceof ConnectError) || cause.code !== Code.Unavailable) return false;
  return cause.rawMessage.includes('ECONNREFUSED');
}

/** Creates a forwarder that sends requests over the peer links. */
export function createPeerForwarder(links: PeerLinks): Forwarder {
  return {
    async forward(router, req) {
      const client = links.client(router);
      if (client === undefined) return { kind: 'not-sent' };
      const timeoutMs = Math.ceil(
        Math.max(0, req.deadlineAt - performance.now()) + DEADLINE_GRACE_MS,
      );
      try {
        const options = { timeoutMs, signal: req.signal };
        const res = await client.rpc.forward(encodeRequest(req), options);
        const answer = decodeAnswer(req.requestId, res);
        return answer === undefined ? { kind: 'lost' } : { kind: 'answered', answer };
      } catch (cause) {
        return isConnectionRefused(cause) ? { kind: 'not-sent' } : { kind: 'lost' };
      }
    },
  };
}
