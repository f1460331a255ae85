import type { Placement } from '@boragepoint/ownership';
import { abortAfter } from '@boragepoint/platform';
import { type Result, err, ok } from 'neverthrow';

import type { AdmissionRefusal, Outcome, OutcomeKind } from '../admission/index.js';
import type { Quarantine, QuarantineRun } from '../quarantine/index.js';
import { type RoutedAnswer, type RoutedRequest, refusal } from './routed-request.js';
import { type AttemptOutcome, sendAttempt } from './server-attempt.js';
import type { ServerLinks } from './server-links.js';

const HTTP_SERVER_ERROR = 500;

/** What an attempt needs beside the request. */
export interface AttemptContext {
  readonly links: ServerLinks;
  readonly quarantine: Quarantine;
}

/** Kind of outcome that the limiter learns from; `undefined` when it learns nothing. */
function outcomeKind(outcome: AttemptOutcome): OutcomeKind | undefined {
  switch (outcome.kind) {
    case 'answered':
      return outcome.answer.status >= HTTP_SERVER_ERROR ? 'error' : 'ok';
    case 'refused':
      return outcome.reason === 'overloaded' ? 'refused' : undefined;
    case 'not-connected':
    case 'connection-lost':
      return 'connection-lost';
    case 'given-up':
      return 'timeout';
    case 'too-large':
    case 'wrong-answer':
      return 'error';
  }
}

function measured(outcome: AttemptOutcome, latencyMs: number, byChange: boolean) {
  const kind = outcomeKind(outcome);
  if (kind === undefined || byChange) return undefined;
  return { kind, latencyMs } satisfies Outcome;
}

async function endRun(run: QuarantineRun, outcome: AttemptOutcome): Promise<void> {
  if (outcome.kind === 'connection-lost') await run.lost();
  else if (outcome.kind === 'answered') run.answered();
  else run.ended();
}

function notAdmitted(refused: AdmissionRefusal): RoutedAnswer & { kind: 'refused' } {
  return refusal(refused.resultName, refused.message, refused.retryAfterMs);
}

/**
 * Waits for admission, sends the request once, and tells the limiter and the quarantine how it
 * ended. A refusal says that nothing was sent.
 */
export async function admittedAttempt(
  ctx: AttemptContext,
  req: RoutedRequest,
  fingerprint: string,
  placement: Placement,
  signal: AbortSignal,
): Promise<Result<AttemptOutcome, RoutedAnswer & { kind: 'refused' }>> {
  const { server, assignment } = placement;
  const { caller, deadlineAt, rule, service } = req;
  const link = ctx.links.linkTo(server);
  const admitted = await link.queue.admit({ caller, priority: rule.priority, deadlineAt, signal });
  if (admitted.isErr()) return err(notAdmitted(admitted.error));
  using permit = admitted.value;
  const entered = await ctx.quarantine.enter({
    service: service.name,
    fingerprint,
    server: server.id,
    deadlineAt,
  });
  if (entered.kind === 'quarantined') {
    const message = 'the request crashed backend servers and is barred';
    return err(refusal('quarantined', message, entered.retryAfterMs));
  }
  if (entered.kind === 'too-late') return err(refusal('overloaded', 'no turn before the deadline'));
  const sentAt = performance.now();
  using timeout = abortAfter(Math.max(1, deadlineAt - sentAt), signal);
  const outcome = await sendAttempt(link.pool, req, assignment, timeout.signal);
  const learnt = measured(outcome, performance.now() - sentAt, signal.aborted);
  if (learnt !== undefined) permit.release(learnt);
  await endRun(entered.run, outcome);
  return ok(outcome);
}
