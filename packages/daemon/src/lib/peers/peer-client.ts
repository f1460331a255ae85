import { PeerService } from '@boragepoint/protocol';
import { type Client, createClient } from '@connectrpc/connect';
import { Http2SessionManager, createConnectTransport } from '@connectrpc/connect-node';

/** RPC client of one peer. */
export interface PeerClient extends Disposable {
  readonly address: string;
  readonly rpc: Client<typeof PeerService>;
}

/** Creates a client. It connects at the first call, and reconnects after losing the connection. */
export function createPeerClient(address: string): PeerClient {
  const baseUrl = `http://${address}`;
  const sessionManager = new Http2SessionManager(baseUrl);
  const transport = createConnectTransport({ baseUrl, httpVersion: '2', sessionManager });
  return {
    address,
    rpc: createClient(PeerService, transport),
    [Symbol.dispose]() {
      sessionManager.abort();
    },
  };
}
