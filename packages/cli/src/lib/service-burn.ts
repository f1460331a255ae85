import { RESULT_CODES, type ResultFamily, familyOf } from '@boragepoint/config';
import parsePrometheus from 'parse-prometheus-text-format';

/** Outcomes of a service's requests since its routers started, and the error budget burnt. */
export interface ServiceBurn {
  readonly service: string;
  /** Valid requests whose callers waited for the answer. */
  readonly requests: number;
  /** Answered successfully within the latency objective. */
  readonly inTime: number;
  /** Answered successfully, but later than the latency objective. */
  readonly late: number;
  /** Refused without being executed. */
  readonly refused: number;
  /** Ended with a server error, no answer in time or an unknown outcome. */
  readonly failed: number;
  /** Bad requests divided by those that the target allows; above 1, the budget is overspent. */
  readonly burn: number;
}

const REQUESTS_METRIC = 'boragepoint_requests_total';
const LATE_METRIC = 'boragepoint_requests_late_total';
/** Requests whose caller left and invalid requests do not count against the service. */
const IGNORED_OUTCOME = 'caller-gone';
const IGNORED_FAMILY = 'bad-request';

interface OutcomeCounts {
  /** Answered successfully, in time or late. */
  ok: number;
  late: number;
  refused: number;
  failed: number;
}

function familyOfOutcome(outcome: string): ResultFamily | undefined {
  const code = Object.entries(RESULT_CODES).find(([name]) => name === outcome)?.[1];
  return code === undefined ? undefined : familyOf(code);
}

function countOutcome(counts: OutcomeCounts, outcome: string, value: number): void {
  const family = familyOfOutcome(outcome);
  if (outcome === IGNORED_OUTCOME || family === IGNORED_FAMILY) return;
  if (outcome === 'ok') counts.ok += value;
  else if (family === 'not-run') counts.refused += value;
  else counts.failed += value;
}

/**
 * Adds up the request metrics of all routers by service.
 *
 * @param texts Metrics of each router in the Prometheus text format.
 * @param target Share of requests, below 1, that should be answered within their latency objective.
 */
export function serviceBurns(texts: readonly string[], target: number): ServiceBurn[] {
  const services = new Map<string, OutcomeCounts>();

  function countsOf(service: string): OutcomeCounts {
    const counts = services.get(service) ?? { ok: 0, late: 0, refused: 0, failed: 0 };
    services.set(service, counts);
    return counts;
  }

  for (const family of texts.flatMap((it) => parsePrometheus(it))) {
    for (const { labels, value } of family.metrics) {
      if (labels?.service === undefined || value === undefined) continue;
      const counts = countsOf(labels.service);
      if (family.name === REQUESTS_METRIC)
        countOutcome(counts, labels.outcome ?? '', Number(value));
      if (family.name === LATE_METRIC) counts.late += Number(value);
    }
  }
  return [...services].map(([service, { ok, late, refused, failed }]) => {
    const requests = ok + refused + failed;
    const allowed = requests * (1 - target);
    const bad = late + refused + failed;
    const burn = bad === 0 ? 0 : bad / allowed;
    return { service, requests, inTime: ok - late, late, refused, failed, burn };
  });
}
