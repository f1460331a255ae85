import { PROBE_PATHS } from '@boragepoint/config';
import { LEASE_PATH, leaseAnswerSchema, type LeaseAnswer } from '@boragepoint/platform';
import { request } from 'undici';
import * as v from 'valibot';

const PEER_CALLS_METRIC = 'boragepoint_peer_calls_total';
const KEPT_SERVERS_METRIC = 'boragepoint_backend_servers_kept';

/** Metrics of a router, read from its operators' listener. */
export interface RouterCounters {
  /** Number of calls to and from peers since the start. */
  readonly peerCalls: number;
  /** Number of backend servers for which it is the acting keeper. */
  readonly kept: number;
}

function valueOf(line: string): number {
  return Number(line.slice(line.lastIndexOf(' ') + 1));
}

/** Reads the metrics of a router. */
export async function scrapeRouter(operators: string): Promise<RouterCounters> {
  const res = await request(`http://${operators}${PROBE_PATHS.metrics}`);
  const lines = (await res.body.text()).split('\n');
  const calls = lines.filter((it) => it.startsWith(`${PEER_CALLS_METRIC}{`));
  const kept = lines.find((it) => it.startsWith(KEPT_SERVERS_METRIC)) ?? '0';
  return {
    peerCalls: calls.map(valueOf).reduce((total, it) => total + it, 0),
    kept: valueOf(kept),
  };
}

/**
 * Reads a backend server's state by a lease renewal with a keeper epoch that is too low to be
 * accepted. The difference of two sequences gives the number of renewals between them.
 */
export async function readLeaseAnswer(address: string): Promise<LeaseAnswer> {
  const body = { keeper: 'bench', keeperEpoch: 0, leaseMs: 1, grants: [], release: [] };
  const res = await request(`http://${address}${LEASE_PATH}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  return v.parse(leaseAnswerSchema, await res.body.json());
}
