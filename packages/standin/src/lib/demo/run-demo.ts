import { monotonicMs } from '../clock.js';
import type { BackendNode } from '../harness/backend-node.js';
import { collectTrace, violationsOf } from '../harness/collect-trace.js';
import { startFleet, type Fleet } from '../harness/fleet.js';
import { drainServer, submitConfiguration } from '../harness/operator-tool.js';
import { waitUntil } from '../harness/wait-until.js';
import type { AttemptRecord } from '../load/load-plan.js';
import type { LoadResult } from '../load/load-result.js';
import { startProbe, type Probe } from '../load/probe.js';
import { startLoad } from '../load/run-load.js';
import { BROWSE, CATALOGUE, DEMO_FLEET, KEY_NAMES, mixedLoad } from './demo-plan.js';

const REQUESTS = 200;
const REQUESTS_PER_SECOND = 40;
const KILL_AFTER_ATTEMPTS = 50;
const DRAIN_AFTER_ATTEMPTS = 120;
const PROBE_INTERVAL_MS = 100;
const WAIT_TIMEOUT_MS = 15_000;

/** Result of the demo. */
export interface DemoResult {
  readonly requests: number;
  readonly ok: number;
  /** Requests whose outcome remained unknown. */
  readonly unknown: number;
  /** Requests that got no answer or were refused, and answers that belong to another request. */
  readonly lost: number;
  /** Violations found in the trace, including repeated runs. */
  readonly violations: readonly string[];
  /** Time until the killed server's keys were served again, in milliseconds. */
  readonly servedAgainMs: number;
  /** Time until the drained server's keys were served by other servers, in milliseconds. */
  readonly drainedMs: number;
  /** Ids of processes that did not exit with code 0 on SIGTERM. */
  readonly badExits: readonly string[];
}

/**
 * Runs the demo.
 *
 * @param printLine Prints a line; called once for each step.
 */
export async function runDemo(
  seed: number,
  printLine: (line: string) => void,
): Promise<DemoResult> {
  await using fleet = await startFleet(DEMO_FLEET);
  const routers = () => fleet.routers.map((it) => it.callers);
  printLine(
    `${fleet.routers.length} routers and ${fleet.backendServers.length} backend servers are up`,
  );
  await submitConfiguration(fleet);
  await using probe = startProbe({
    seed,
    kind: BROWSE,
    keys: KEY_NAMES,
    intervalMs: PROBE_INTERVAL_MS,
    routers,
  });
  await waitUntil('all keys served', () => trueIfEmpty(probe.unservedSince(1)), WAIT_TIMEOUT_MS);
  printLine('the configuration is in force and every key is served');

  const seen: AttemptRecord[] = [];
  const plan = mixedLoad({
    seed,
    requests: REQUESTS,
    ratePerSecond: REQUESTS_PER_SECOND,
    routers,
  });
  await using loading = startLoad(plan, (it) => seen.push(it));
  const faults = injectFaults(fleet, probe, seen, printLine);
  const [load, times] = await Promise.all([loading.result, faults]);
  await probe.stop();
  const badExits = await stopAll(fleet);
  const trace = await collectTrace(fleet, load.attempts);
  return { ...countOutcomes(load), ...times, badExits, violations: violationsOf(trace) };
}

function trueIfEmpty(names: readonly string[]): true | undefined {
  return names.length === 0 ? true : undefined;
}

async function injectFaults(
  fleet: Fleet,
  probe: Probe,
  seen: readonly AttemptRecord[],
  printLine: (line: string) => void,
) {
  const [killed, drained] = fleet.backendServers;
  if (killed === undefined || drained === undefined)
    throw new Error('the demo needs 2 backend servers');
  const reached = (count: number) => () => (seen.length >= count ? true : undefined);
  await waitUntil('requests before the kill', reached(KILL_AFTER_ATTEMPTS), WAIT_TIMEOUT_MS);
  const servedAgainMs = await killServer(killed, probe);
  printLine(
    `${killed.id} was killed; its keys were served again after ${Math.round(servedAgainMs)} ms`,
  );
  await waitUntil('requests before the drain', reached(DRAIN_AFTER_ATTEMPTS), WAIT_TIMEOUT_MS);
  const drainedMs = await drain(fleet, drained, probe);
  printLine(`${drained.id} was drained after ${Math.round(drainedMs)} ms`);
  return { servedAgainMs, drainedMs };
}

async function killServer(server: BackendNode, probe: Probe): Promise<number> {
  const killedAt = await server.kill();
  const served = () =>
    trueIfEmpty([...probe.unservedSince(killedAt), ...keysServedBy(server, probe)]);
  await waitUntil(`keys of ${server.id} served again`, served, WAIT_TIMEOUT_MS);
  return monotonicMs() - killedAt;
}

async function drain(fleet: Fleet, server: BackendNode, probe: Probe): Promise<number> {
  const drainedAt = monotonicMs();
  await drainServer(fleet, CATALOGUE.name, server.id);
  await waitUntil(
    `drain of ${server.id}`,
    () => trueIfEmpty(keysServedBy(server, probe)),
    WAIT_TIMEOUT_MS,
  );
  return monotonicMs() - drainedAt;
}

function keysServedBy(server: BackendNode, probe: Probe): string[] {
  return [...probe.servers()].filter(([, id]) => id === server.id).map(([key]) => key);
}

async function stopAll(fleet: Fleet): Promise<string[]> {
  const stopped = await Promise.all(
    [...fleet.routers, ...fleet.backendServers]
      .filter((it) => it.program.exit === undefined)
      .map(async ({ id, program }) => ({ id, exit: await program.stop() })),
  );
  return stopped.filter((it) => it.exit.code !== 0).map((it) => it.id);
}

function countOutcomes({ kinds }: LoadResult) {
  const sum = (numbers: readonly number[]) => numbers.reduce((total, it) => total + it, 0);
  return {
    requests: sum(kinds.map((it) => it.requests)),
    ok: sum(kinds.map((it) => it.ok)),
    unknown: sum(kinds.map((it) => it.unknown)),
    lost: sum(kinds.map((it) => it.lost + it.notRun + it.badRequest + it.mismatched)),
  };
}
