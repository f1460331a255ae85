import type { AssignmentMap, Placement } from '@boragepoint/ownership';
import { createConfirmingPool } from '@boragepoint/platform';
import { type Result, err, ok } from 'neverthrow';

import type { AdmissionRefusal, Outcome, OutcomeKind } from '../admission/index.js';
import type { LoadExchange } from '../balance/index.js';
import type { Quarantine, QuarantineRun } from '../quarantine/index.js';
import { type RoutedAnswer, type RoutedRequest, refusal } from './routed-request.js';
import { type AttemptOutcome, sendAttempt } from './server-attempt.js';
import type { ServerLink, ServerLinks } from './server-links.js';

/** Lowest HTTP status that is a server error. */
const MIN_SERVER_ERROR_STATUS = 500;

/** Dependencies of an attempt. */
export interface AttemptContext {
  readonly map: AssignmentMap;
  readonly load: LoadExchange;
  readonly links: ServerLinks;
  readonly quarantine: Quarantine;
}

/** Maps an outcome to its kind for the limiter; `undefined` if it says nothing about the server. */
function outcomeKind(outcome: AttemptOutcome): OutcomeKind | undefined {
  switch (outcome.kind) {
    case 'answered':
      return outcome.answer.status >= MIN_SERVER_ERROR_STATUS ? 'error' : 'ok';
    case 'refused':
      return outcome.reason === 'overloaded' ? 'refused' : undefined;
    case 'not-connected':
    case 'connection-lost':
      return 'connection-lost';
    case 'aborted':
      return 'timeout';
    case 'too-large':
    case 'wrong-answer':
      return 'error';
  }
}

/** Builds the outcome for the limiter; `undefined` for an attempt that was cancelled. */
function toLimiterOutcome(
  outcome: AttemptOutcome,
  rule: string,
  latencyMs: number,
  wasCancelled: boolean,
): Outcome | undefined {
  const kind = outcomeKind(outcome);
  if (kind === undefined || wasCancelled) return undefined;
  const serverLoad = outcome.kind === 'answered' ? outcome.serverLoad : undefined;
  return { kind, latencyMs, rule, serverLoad };
}

async function endRun(run: QuarantineRun, outcome: AttemptOutcome): Promise<void> {
  if (outcome.kind === 'connection-lost') await run.lost();
  else if (outcome.kind === 'answered') run.answered();
  else run.ended();
}

function notAdmitted(refused: AdmissionRefusal): RoutedAnswer & { kind: 'refused' } {
  return refusal(refused.resultName, refused.message, refused.retryAfterMs);
}

/** One attempt at the owner of the request's key. */
export interface Attempt {
  readonly req: RoutedRequest;
  readonly fingerprint: string;
  readonly placement: Placement;
  /** Aborts the attempt, at the latest when its time limit is reached. */
  readonly signal: AbortSignal;
  /**
   * True if an earlier attempt may have reached the server: a late or repeated answer to it bears
   * the same id.
   */
  readonly isRepeated: boolean;
  /** True once the attempt was ended for a reason that says nothing about the server. */
  wasCancelled(): boolean;
}

/**
 * Sends the request. An exclusive run uses a new connection, because the loss of a pooled
 * connection that was idle says nothing about the request; so does a repeated attempt, because no
 * answer to the earlier one can arrive there.
 */
async function send(
  link: ServerLink,
  { req, placement, signal, isRepeated }: Attempt,
  exclusive: boolean,
): Promise<AttemptOutcome> {
  if (!exclusive && !isRepeated) return sendAttempt(link.pool, req, placement.assignment, signal);
  const client = createConfirmingPool(`http://${link.address}`, { connections: 1 });
  const outcome = await sendAttempt(client, req, placement.assignment, signal);
  await client.destroy();
  return outcome;
}

/**
 * Waits for admission, sends the request once, and reports its outcome to the limiter, the load
 * meter and the quarantine. An error result means that nothing was sent.
 */
export async function admittedAttempt(
  ctx: AttemptContext,
  attempt: Attempt,
): Promise<Result<AttemptOutcome, RoutedAnswer & { kind: 'refused' }>> {
  const { req, fingerprint, placement, signal } = attempt;
  const { caller, deadlineAt, rule, service } = req;
  const link = ctx.links.linkTo(placement.server);
  const queueAdmission = await link.queue.admit({
    caller,
    priority: rule.priority,
    deadlineAt,
    signal,
  });
  if (queueAdmission.isErr()) return err(notAdmitted(queueAdmission.error));
  using permit = queueAdmission.value;
  const admission = await ctx.quarantine.admit({
    service: service.name,
    fingerprint,
    server: placement.server.id,
    deadlineAt,
  });
  if (admission.kind === 'quarantined') {
    const message = 'the request crashed backend servers and is barred';
    return err(refusal('quarantined', message, admission.retryAfterMs));
  }
  if (admission.kind === 'too-late')
    return err(refusal('overloaded', 'no turn before the deadline'));
  const sentAt = performance.now();
  const outcome = await send(link, attempt, admission.run.isExclusive);
  const limiterOutcome = toLimiterOutcome(
    outcome,
    rule.name,
    performance.now() - sentAt,
    attempt.wasCancelled(),
  );
  if (limiterOutcome !== undefined) {
    permit.release(limiterOutcome);
    recordLoad(ctx, attempt, limiterOutcome);
  }
  await endRun(admission.run, outcome);
  return ok(outcome);
}

function recordLoad(ctx: AttemptContext, { req, placement }: Attempt, outcome: Outcome): void {
  ctx.load.record(req.service.name, {
    rule: req.rule.name,
    keyHash: ctx.map.keyHash(req.service, req.key),
    shard: placement.assignment.shard,
    server: placement.server.id,
    kind: outcome.kind,
    latencyMs: outcome.latencyMs,
  });
}
