import { Agent } from 'undici';
import { v7 as timeOrderedUuid } from 'uuid';

import { KEY_NAMES } from '../demo/demo-plan.js';
import { monotonicMs, sleep } from '../clock.js';
import { createRandom, type Random } from '../random.js';
import { pick } from './fault-case.js';
import {
  sendTry,
  reportedOutcomeOf,
  type Payment,
  type PaymentTry,
  type TryPlan,
} from './payment-try.js';

/** First number of payments, above the request numbers of loads and probes. */
const FIRST_PAYMENT_NUMBER = 2_000_000;
const MAX_SEED = 2 ** 31;
const MAX_WORK_MS = 150;
const SECOND_MS = 1_000;
/** Longer than any deadline, so that late answers are recorded. */
const LONG_TIMEOUT_MS = 6_000;
/** Timeouts of the callers that cancel their requests early, in milliseconds. */
const SHORT_TIMEOUTS_MS = [150, 500, 1_500] as const;
const SHORT_TIMEOUT_SHARE = 0.3;
/** Share of tries that are sent to two routers in parallel. */
const PARALLEL_TRY_SHARE = 0.2;
const MAX_PAUSE_MS = 400;
/** A caller stops retrying after this many answers with unknown outcome. */
const MAX_UNKNOWN_ANSWERS = 4;

/** A load of payments. */
export interface PaymentLoadPlan {
  readonly seed: number;
  readonly payments: number;
  readonly perSecond: number;
  /** Time for which a caller retries its payment, in milliseconds. */
  readonly retryForMs: number;
  /** Returns the addresses of the routers to which payments are sent now. */
  readonly routers: () => readonly string[];
}

/** Tries of one payment, in the order in which they were sent. */
export type PaymentTries = readonly PaymentTry[];

function createPayment(index: number, random: Random): Payment {
  return {
    number: FIRST_PAYMENT_NUMBER + index,
    key: pick(KEY_NAMES, random),
    idempotencyKey: timeOrderedUuid(),
    workMs: 1 + random.below(MAX_WORK_MS),
  };
}

/**
 * Sends payments at a fixed rate. Each is retried until it is answered, or until the retry time or
 * the limit of unknown outcomes is reached, and is then repeated once more.
 */
export async function runPaymentLoad(plan: PaymentLoadPlan): Promise<PaymentTries[]> {
  const agent = new Agent();
  const loadRandom = createRandom(plan.seed);

  function planTry(random: Random, isRepeat: boolean): TryPlan {
    const hasShortTimeout = random.next() < SHORT_TIMEOUT_SHARE;
    const patienceMs = hasShortTimeout ? pick(SHORT_TIMEOUTS_MS, random) : LONG_TIMEOUT_MS;
    return { router: pick(plan.routers(), random), patienceMs, isRepeat };
  }

  async function sendRound(payment: Payment, random: Random, isRepeat: boolean) {
    const first = planTry(random, isRepeat);
    const plans = random.next() < PARALLEL_TRY_SHARE ? [first, planTry(random, true)] : [first];
    return await Promise.all(plans.map((it) => sendTry(agent, payment, it)));
  }

  /** Each payment has its own generator, so that its choices do not depend on answer times. */
  async function sendPayment(payment: Payment, random: Random): Promise<PaymentTries> {
    const endAt = monotonicMs() + plan.retryForMs;
    const tries: PaymentTry[] = [];
    while (tries.length === 0 || (mustRetry(tries) && monotonicMs() < endAt)) {
      tries.push(...(await sendRound(payment, random, tries.length > 0)));
      await sleep(random.below(MAX_PAUSE_MS));
    }
    tries.push(...(await sendRound(payment, random, true)));
    return tries;
  }

  const sending: Promise<PaymentTries>[] = [];
  for (let index = 0; index < plan.payments; index += 1) {
    const payment = createPayment(index, loadRandom);
    sending.push(sendPayment(payment, createRandom(loadRandom.below(MAX_SEED))));
    await sleep(SECOND_MS / plan.perSecond);
  }
  const all = await Promise.all(sending);
  await agent.close();
  return all;
}

function mustRetry(tries: PaymentTries): boolean {
  const outcomes = tries.map(reportedOutcomeOf);
  if (outcomes.includes('ok') || outcomes.includes('bad-request')) return false;
  return outcomes.filter((it) => it === 'unknown').length < MAX_UNKNOWN_ANSWERS;
}
