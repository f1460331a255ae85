import { coversPattern, reachesSegment, segmentsOf } from './path-pattern.js';
import { type Problem, formatPath } from './problem.js';
import { findDuplicates } from './duplicates.js';
import type { Rule, ServiceConfig } from './service-config.js';

/** Minimum ratio of the lease to the time between renewals. */
const MIN_RENEWALS_PER_LEASE = 2;
/** Maximum tenure when backend servers don't check the epochs and leases of orders. */
const MAX_UNCHECKED_TENURE_MS = 10_000;

function checkLease(service: ServiceConfig): Problem[] {
  const { leaseMs, renewEveryMs, tenureMs } = service.lease;
  const problems: Problem[] = [];
  if (leaseMs < MIN_RENEWALS_PER_LEASE * renewEveryMs) {
    const message = `must be at least twice renewEveryMs (${renewEveryMs})`;
    problems.push({ path: 'lease.leaseMs', message });
  }
  if (tenureMs < leaseMs) {
    problems.push({ path: 'lease.tenureMs', message: `must be at least leaseMs (${leaseMs})` });
  }
  if (!service.checksOrders && tenureMs > MAX_UNCHECKED_TENURE_MS) {
    const message = `must be at most ${MAX_UNCHECKED_TENURE_MS} when checksOrders is false`;
    problems.push({ path: 'lease.tenureMs', message });
  }
  return problems;
}

function shadows(earlier: Rule, later: Rule): boolean {
  const coversMethod = earlier.method === '*' || earlier.method === later.method;
  return coversMethod && coversPattern(segmentsOf(earlier.path), segmentsOf(later.path));
}

function checkRule(service: ServiceConfig, rule: Rule, index: number): Problem[] {
  const fieldPath = (field: string) => formatPath(['rules', index, field]);
  const problems: Problem[] = [];
  const earlier = service.rules.slice(0, index).find((it) => shadows(it, rule));
  if (earlier !== undefined) {
    const message = `never applies: the earlier rule ${earlier.name} matches all its requests`;
    problems.push({ path: fieldPath('path'), message });
  }
  if (service.key.from === 'path' && !reachesSegment(segmentsOf(rule.path), service.key.segment)) {
    const message = `has no segment ${service.key.segment}, where the key is read`;
    problems.push({ path: fieldPath('path'), message });
  }
  if (rule.objective !== undefined && rule.objective.withinMs > rule.deadlineMs) {
    const message = `must be at most deadlineMs (${rule.deadlineMs})`;
    problems.push({ path: fieldPath('objective.withinMs'), message });
  }
  return problems;
}

function checkNames(service: ServiceConfig): Problem[] {
  const rules = findDuplicates(service.rules, (rule) => rule.name).map(({ index, value }) => ({
    path: formatPath(['rules', index, 'name']),
    message: `another rule is named ${value}`,
  }));
  const pins = findDuplicates(service.pins, (pin) => pin.key).map(({ index, value }) => ({
    path: formatPath(['pins', index, 'key']),
    message: `the key ${value} is pinned twice`,
  }));
  return [...rules, ...pins];
}

/**
 * Checks one service for problems that its schema can't find. Paths of the problems are relative to
 * the service.
 */
export function checkService(service: ServiceConfig): Problem[] {
  const rules = service.rules.flatMap((rule, index) => checkRule(service, rule, index));
  return [...checkLease(service), ...checkNames(service), ...rules];
}
