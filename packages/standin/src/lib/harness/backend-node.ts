import path from 'node:path';

import { HEALTH_PATH, type InstanceRecord } from '@boragepoint/platform';
import { request } from 'undici';

import { monotonicMs } from '../clock.js';
import type { BackendControl } from '../backend/control.js';
import { startProgram, type Program } from './child-program.js';
import { controlBackend } from './control-client.js';
import { reserveAddresses, portOf } from './free-ports.js';
import { PROGRAMS, waitForListening } from './programs.js';

const HEALTH_TIMEOUT_MS = 500;

/** Availability zone and region of a process. */
export interface Location {
  readonly availabilityZone: string;
  readonly region: string;
}

/**
 * A backend server was stopped; `at` is the latest monotonic time, in milliseconds, at which it can
 * have run.
 */
export interface StoppedEvent {
  readonly kind: 'stopped';
  readonly at: number;
  readonly server: string;
}

/** Start parameters of a stand-in backend server. */
export interface BackendPlan {
  readonly id: string;
  readonly service: string;
  readonly location: Location;
  readonly args: readonly string[];
  readonly folder: string;
}

/** A stand-in backend server of a fleet. */
export interface BackendNode extends AsyncDisposable {
  readonly id: string;
  readonly service: string;
  readonly location: Location;
  readonly address: string;
  /** Path of its event log. */
  readonly logFile: string;
  readonly program: Program;
  readonly stops: readonly StoppedEvent[];
  readonly record: InstanceRecord;
  control(change: BackendControl): Promise<void>;
  /** Returns whether its health endpoint answers now. */
  isAnswering(): Promise<boolean>;
  /** Kills the process; returns the monotonic time in milliseconds at which it was gone. */
  kill(): Promise<number>;
  /** Starts the process again at the same address, as a new incarnation. */
  restart(): Promise<void>;
}

async function answersHealth(address: string): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(HEALTH_TIMEOUT_MS);
    const res = await request(`http://${address}${HEALTH_PATH}`, { signal });
    await res.body.dump();
    return true;
  } catch {
    return false;
  }
}

/** Starts a stand-in backend server and waits until it listens. */
export async function startBackend(plan: BackendPlan): Promise<BackendNode> {
  const { id, service, location, folder } = plan;
  const [address = ''] = await reserveAddresses(1);
  const logFile = path.join(folder, `${id}.events.jsonl`);
  const outputFile = path.join(folder, `${id}.out`);
  const port = String(portOf(address));
  const args = ['--id', id, '--port', port, '--log', logFile, ...plan.args];
  const stops: StoppedEvent[] = [];

  async function start() {
    const program = startProgram({ name: id, script: PROGRAMS.backendServer, args, outputFile });
    const { control } = await waitForListening(program);
    return { program, control };
  }

  async function kill(): Promise<number> {
    const killedAt = await current.program.kill();
    stops.push({ kind: 'stopped', at: killedAt, server: id });
    return killedAt;
  }

  let current = await start();
  return {
    id,
    service,
    location,
    address,
    logFile,
    get program() {
      return current.program;
    },
    stops,
    record: { id, role: 'backend-server', ...location, address, state: 'live' },
    control: (change) => controlBackend(current.control, change),
    isAnswering: () => answersHealth(address),
    kill,
    async restart() {
      if (current.program.exit === undefined) await kill();
      else stops.push({ kind: 'stopped', at: monotonicMs(), server: id });
      current = await start();
    },
    async [Symbol.asyncDispose]() {
      await current.program[Symbol.asyncDispose]();
    },
  };
}
