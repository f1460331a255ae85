import { request } from 'undici';
import * as v from 'valibot';

import { BACKEND_CONTROL_PATH, type BackendControl } from '../backend/control.js';
import {
  PLATFORM_CONTROL_PATH,
  platformCountersSchema,
  type PlatformControl,
  type PlatformCounters,
} from '../platform/control.js';

const HTTP_OK = 200;
const CALL_TIMEOUT_MS = 10_000;

async function post(url: string, body: unknown): Promise<void> {
  const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
  const res = await request(url, { method: 'POST', body: JSON.stringify(body), signal });
  const text = await res.body.text();
  if (res.statusCode !== HTTP_OK) throw new Error(`${url}: status ${res.statusCode} ${text}`);
}

/** Changes the faults of a stand-in platform. */
export async function controlPlatform(address: string, change: PlatformControl): Promise<void> {
  await post(`http://${address}${PLATFORM_CONTROL_PATH}`, change);
}

/** Changes the faults of a stand-in backend server. */
export async function controlBackend(address: string, change: BackendControl): Promise<void> {
  await post(`http://${address}${BACKEND_CONTROL_PATH}`, change);
}

/** Reads the counters of a stand-in platform. */
export async function readPlatformCounters(address: string): Promise<PlatformCounters> {
  const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
  const res = await request(`http://${address}${PLATFORM_CONTROL_PATH}`, { signal });
  return v.parse(platformCountersSchema, await res.body.json());
}
