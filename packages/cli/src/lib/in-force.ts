import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

import type { Problem, RouterStatus, ServiceVersion } from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';

import { CliError, EXIT_CODES } from './cli-error.js';
import type { OperatorClient } from './operator-client.js';

const POLL_INTERVAL_MS = 100;

/** Says that all live routers have a configuration in force. */
export interface InForce {
  /** Time from the start of the wait, in milliseconds. */
  readonly elapsedMs: number;
  /** Number of live routers. */
  readonly routers: number;
}

function lagOf(router: RouterStatus, wanted: readonly ServiceVersion[]): Problem[] {
  return wanted.flatMap(({ name, version }) => {
    const reported = router.services.find((it) => it.name === name)?.version ?? 0;
    if (reported >= version) return [];
    const message = `reports ${name} at version ${reported}, not ${version}; last report ${router.reportAgeMs} ms ago`;
    return [{ path: `${router.id} (${router.availabilityZone})`, message }];
  });
}

function notInForce(elapsedMs: number, lags: readonly Problem[]): CliError {
  const message = `written, but not in force on every live router after ${elapsedMs} ms`;
  return new CliError(EXIT_CODES.notInForce, message, undefined, lags);
}

/** Waits until every live router reports the versions wanted or higher ones. @internal */
export async function waitInForce(
  client: OperatorClient,
  wanted: readonly ServiceVersion[],
  timeoutMs: number,
): Promise<Result<InForce, CliError>> {
  const startMs = performance.now();
  for (;;) {
    const status = await client.status();
    const elapsedMs = Math.round(performance.now() - startMs);
    const routers = status.isOk() ? status.value.routers.filter((it) => it.state === 'live') : [];
    const lags = status.isOk()
      ? routers.flatMap((it) => lagOf(it, wanted))
      : [{ path: 'status', message: status.error.message }];
    if (routers.length > 0 && lags.length === 0) return ok({ elapsedMs, routers: routers.length });
    if (elapsedMs >= timeoutMs) return err(notInForce(elapsedMs, lags));
    await delay(Math.min(POLL_INTERVAL_MS, timeoutMs - elapsedMs));
  }
}
