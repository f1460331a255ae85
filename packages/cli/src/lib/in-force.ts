import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

import type { Problem, RouterStatus, ServiceVersion } from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';

import { CliError, EXIT_CODES } from './cli-error.js';
import type { OperatorClient } from './operator-client.js';

const POLL_INTERVAL_MS = 100;

/** Result of a wait until all live routers have a configuration in force. */
export interface InForceResult {
  /** Time from the start of the wait, in milliseconds. */
  readonly elapsedMs: number;
  /** Number of live routers. */
  readonly routers: number;
}

function outdatedVersions(router: RouterStatus, wanted: readonly ServiceVersion[]): Problem[] {
  return wanted.flatMap(({ name, version }) => {
    const reported = router.services.find((it) => it.name === name)?.version ?? 0;
    if (reported >= version) return [];
    const message = `reports ${name} at version ${reported}, not ${version}; last report ${router.reportAgeMs} ms ago`;
    return [{ path: `${router.id} (${router.availabilityZone})`, message }];
  });
}

function notInForceError(elapsedMs: number, problems: readonly Problem[]): CliError {
  const message = `written, but not in force on every live router after ${elapsedMs} ms`;
  return new CliError(EXIT_CODES.notInForce, message, undefined, problems);
}

/** Result of one check of the versions that the routers report. */
interface StatusCheck {
  readonly liveRouters: number;
  /** Each outdated version that a live router reports, or why the status is unknown. */
  readonly problems: readonly Problem[];
}

/** Checks the routers' versions once; returns `undefined` if no answer arrives in time. */
async function checkStatus(
  client: OperatorClient,
  wanted: readonly ServiceVersion[],
  timeoutMs: number,
): Promise<StatusCheck | undefined> {
  const timeout = delay(timeoutMs, undefined, { ref: false });
  const status = await Promise.race([client.status(), timeout]);
  if (status === undefined) return undefined;
  if (status.isErr()) {
    return { liveRouters: 0, problems: [{ path: 'status', message: status.error.message }] };
  }
  const live = status.value.routers.filter((it) => it.state === 'live');
  return { liveRouters: live.length, problems: live.flatMap((it) => outdatedVersions(it, wanted)) };
}

/** Waits until every live router reports the wanted versions or newer ones. @internal */
export async function waitUntilInForce(
  client: OperatorClient,
  wanted: readonly ServiceVersion[],
  timeoutMs: number,
): Promise<Result<InForceResult, CliError>> {
  const startMs = performance.now();
  const elapsed = () => Math.round(performance.now() - startMs);
  let latest: StatusCheck = {
    liveRouters: 0,
    problems: [{ path: 'status', message: 'no answer in time' }],
  };
  for (;;) {
    latest = (await checkStatus(client, wanted, timeoutMs - elapsed())) ?? latest;
    const { liveRouters, problems } = latest;
    const elapsedMs = elapsed();
    if (liveRouters > 0 && problems.length === 0) return ok({ elapsedMs, routers: liveRouters });
    if (elapsedMs >= timeoutMs) return err(notInForceError(elapsedMs, problems));
    await delay(Math.min(POLL_INTERVAL_MS, timeoutMs - elapsedMs));
  }
}
