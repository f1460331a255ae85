import path from 'node:path';

import type { InstanceRecord } from '@boragepoint/platform';
import { request } from 'undici';

import type { Location } from './backend-node.js';
import { startProgram, type Program } from './child-program.js';
import { reserveAddresses } from './free-ports.js';
import { PROGRAMS } from './programs.js';
import { writeRouterSettings } from './settings-file.js';
import { waitUntil } from './wait-until.js';

const HTTP_OK = 200;
const READY_CALL_TIMEOUT_MS = 2_000;
const READY_TIMEOUT_MS = 15_000;

/** Addresses of a router's listeners, and those at which it reaches the platform. */
export interface RouterAddresses {
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
  readonly table: string;
  readonly instances: string;
}

/** Start parameters of a router. */
export interface RouterPlan {
  readonly id: string;
  readonly location: Location;
  readonly addresses: RouterAddresses;
  readonly tokenFile: string;
  readonly logLevel: string;
  readonly folder: string;
}

/** A router of a fleet; `callers`, `operators` and `peers` are its listeners' addresses. */
export interface RouterNode extends AsyncDisposable {
  readonly id: string;
  readonly location: Location;
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
  readonly program: Program;
  readonly record: InstanceRecord;
  /** State that is published in the platform's instance list. */
  state: InstanceRecord['state'];
  /** Returns whether its readiness endpoint reports it ready now. */
  isReady(): Promise<boolean>;
  /** Waits until its readiness endpoint reports it ready. */
  waitUntilReady(): Promise<void>;
}

/** Reserves addresses for the three listeners of a router. */
export async function reserveListeners() {
  const [callers = '', operators = '', peers = ''] = await reserveAddresses(3);
  return { callers, operators, peers };
}

async function isReady(callers: string): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(READY_CALL_TIMEOUT_MS);
    const res = await request(`http://${callers}/readyz`, { signal });
    await res.body.dump();
    return res.statusCode === HTTP_OK;
  } catch {
    return false;
  }
}

/** Starts a router. */
export async function startRouter(plan: RouterPlan): Promise<RouterNode> {
  const { id, location, addresses, tokenFile, logLevel, folder } = plan;
  const settings = path.join(folder, `${id}.toml`);
  const { callers, operators, peers, table, instances } = addresses;
  const listeners = { callers, operators, peers };
  const platform = { table, objects: table, instances };
  await writeRouterSettings(settings, {
    id,
    ...location,
    ...listeners,
    ...platform,
    tokenFile,
    logLevel,
  });
  const program = startProgram({
    name: id,
    script: PROGRAMS.router,
    args: ['--settings', settings],
    outputFile: path.join(folder, `${id}.out`),
  });
  const node: RouterNode = {
    id,
    location,
    ...listeners,
    program,
    state: 'live',
    get record(): InstanceRecord {
      return { id, role: 'router', ...location, address: peers, state: node.state };
    },
    isReady: () => isReady(callers),
    async waitUntilReady() {
      const ready = async () => {
        if (program.exit !== undefined) await program.waitForLine('ready', () => undefined);
        return (await isReady(callers)) ? true : undefined;
      };
      await waitUntil(`${id} ready`, ready, READY_TIMEOUT_MS);
    },
    async [Symbol.asyncDispose]() {
      await program[Symbol.asyncDispose]();
    },
  };
  return node;
}
