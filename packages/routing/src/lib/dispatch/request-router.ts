import type { Membership } from '@boragepoint/ownership';

import { fingerprintOf } from '../quarantine/index.js';
import { type KeeperRunContext, runAtKeeper } from './keeper-run.js';
import { waitForChange } from './wait-for-change.js';
import { type RoutedAnswer, type RoutedRequest, refusal } from './routed-request.js';
import { type IdempotentContext, runIdempotent } from './run-idempotent.js';

/** Longest wait for a change before the request is sent to a keeper again. */
const KEEPER_CHECK_INTERVAL_MS = 25;
const RETRY_AFTER_MS = 1_000;

/** Outcome of forwarding a request to another router. */
export type ForwardOutcome =
  | { readonly kind: 'answered'; readonly answer: RoutedAnswer }
  /** The peer did not receive the request. */
  | { readonly kind: 'not-sent' }
  /** The connection was lost, so the peer may have run the request. */
  | { readonly kind: 'lost' };

/** Forwards requests to the keepers of their owners. */
export interface Forwarder {
  forward(router: string, req: RoutedRequest): Promise<ForwardOutcome>;
}

/** Dependencies of the request path of one router. */
export interface RouterContext extends KeeperRunContext, IdempotentContext {
  readonly membership: Membership;
  readonly forwarder: Forwarder;
}

/** The request path of one router. */
export interface RequestRouter {
  /** Routes a caller's request. Resolves by the deadline. */
  handle(req: RoutedRequest): Promise<RoutedAnswer>;
  /** Runs a request that a peer forwarded, if this router is the keeper of its key's owner. */
  handleForwarded(req: RoutedRequest): Promise<RoutedAnswer>;
  /** Resolves when no request is in progress. */
  idle(): Promise<void>;
}

function fingerprintOfRequest(req: RoutedRequest): string {
  const { service, method, path, body } = req;
  return fingerprintOf({ service: service.name, method, path, body });
}

/** Creates the request path. */
export function createRequestRouter(ctx: RouterContext): RequestRouter {
  let inProgress = 0;
  const idleListeners: (() => void)[] = [];

  /** Returns the live router that should act as the keeper of the key's owner. */
  function keeperOf(req: RoutedRequest): string | undefined {
    const placement = ctx.map.place(req.service, req.key);
    const keeperRow = placement && ctx.map.keeper(placement.server.id)?.value;
    if (keeperRow === undefined || placement === undefined) return undefined;
    if (ctx.keepers.session(placement.server.id)?.isRenewing() === true) {
      return ctx.membership.self.id;
    }
    const candidates = [keeperRow.acting, ...(keeperRow.standby ? [keeperRow.standby] : [])];
    return candidates.find((it) => ctx.membership.isLive(it.router, it.incarnation))?.router;
  }

  async function sendToKeeper(req: RoutedRequest, fingerprint: string): Promise<ForwardOutcome> {
    const keeper = keeperOf(req);
    if (keeper === undefined) return { kind: 'not-sent' };
    if (keeper !== ctx.membership.self.id) return ctx.forwarder.forward(keeper, req);
    return { kind: 'answered', answer: await runAtKeeper(ctx, req, fingerprint) };
  }

  function isFromWrongKeeper(answer: RoutedAnswer): boolean {
    return answer.kind === 'refused' && answer.result === 'unfinishedElsewhere';
  }

  /**
   * Tries keepers until one answers. After a lost connection it continues only if a second run is
   * harmless or prevented by the ledger.
   */
  async function runThroughKeeper(req: RoutedRequest, fingerprint: string): Promise<RoutedAnswer> {
    const mayRepeat = req.rule.idempotent || req.idempotencyKey !== undefined;
    let connectionLost = false;
    while (performance.now() < req.deadlineAt && !req.signal.aborted) {
      const outcome = await sendToKeeper(req, fingerprint);
      if (outcome.kind === 'answered' && !isFromWrongKeeper(outcome.answer)) {
        return accountForEarlierAttempt(outcome.answer, connectionLost);
      }
      if (outcome.kind === 'lost') connectionLost = true;
      if (connectionLost && !mayRepeat) break;
      const leftMs = req.deadlineAt - performance.now();
      await waitForChange(ctx.map, Math.min(KEEPER_CHECK_INTERVAL_MS, leftMs), req.signal);
    }
    const mayHaveRun = connectionLost || (req.isRepeat && !req.rule.idempotent);
    return mayHaveRun
      ? refusal('outcomeUnknown', 'an earlier try may have run, and no keeper can be asked')
      : refusal('noOwner', 'no router acts as the keeper of the owner', RETRY_AFTER_MS);
  }

  /** Replaces a refusal, which covers the last attempt only, if an earlier attempt may have run. */
  function accountForEarlierAttempt(answer: RoutedAnswer, mayHaveRun: boolean): RoutedAnswer {
    if (!mayHaveRun || answer.kind === 'answered') return answer;
    return refusal('outcomeUnknown', answer.message, answer.retryAfterMs);
  }

  function quarantineRefusal(req: RoutedRequest, fingerprint: string): RoutedAnswer | undefined {
    const retryAfterMs = ctx.quarantine.quarantinedForMs(req.service.name, fingerprint);
    if (retryAfterMs === undefined) return undefined;
    return refusal('quarantined', 'the request crashed backend servers', retryAfterMs);
  }

  async function route(req: RoutedRequest): Promise<RoutedAnswer> {
    const fingerprint = fingerprintOfRequest(req);
    // The keeper of a non-idempotent request checks the ledger first: an earlier attempt may have
    // run.
    if (!req.rule.idempotent) return runThroughKeeper(req, fingerprint);
    const refused = quarantineRefusal(req, fingerprint);
    if (refused !== undefined) return refused;
    return runIdempotent(ctx, req, fingerprint, () => runThroughKeeper(req, fingerprint));
  }

  async function trackInProgress(answering: Promise<RoutedAnswer>): Promise<RoutedAnswer> {
    inProgress += 1;
    try {
      return await answering;
    } finally {
      inProgress -= 1;
      if (inProgress === 0)
        idleListeners.splice(0).forEach((resolve) => {
          resolve();
        });
    }
  }

  return {
    handle: (req) => trackInProgress(route(req)),
    handleForwarded: (req) => trackInProgress(runAtKeeper(ctx, req, fingerprintOfRequest(req))),
    async idle() {
      if (inProgress > 0) await new Promise<void>((resolve) => idleListeners.push(resolve));
    },
  };
}
