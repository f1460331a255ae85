import { PROBE_PATHS } from '@boragepoint/config';
import { LEASE_PATH, leaseAnswerSchema, type LeaseAnswer } from '@boragepoint/platform';
import { request } from 'undici';
import * as v from 'valibot';

const PEER_CALLS_METRIC = 'boragepoint_peer_calls_total';
const KEPT_SERVERS_METRIC = 'boragepoint_backend_servers_kept';

/** Counters of a router at its operators' listener. */
export interface RouterCounters {
  /** Calls to and from peers since the start. */
  readonly peerCalls: number;
  /** Backend servers that it acts for. */
  readonly kept: number;
}

function valueOf(line: string): number {
  return Number(line.slice(line.lastIndexOf(' ') + 1));
}

/** Reads the counters of a router. */
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
 * Reads a backend server's answer to a renewal under a keeper epoch that it refuses; the sequence
 * of two such answers tells how many renewals came between them.
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
