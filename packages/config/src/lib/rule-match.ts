import { decodePath, matchesPattern, segmentsOf } from './path-pattern.js';
import type { Rule, ServiceConfig } from './service-config.js';

const ANY_METHOD = '*';

interface CompiledRule {
  readonly rule: Rule;
  readonly pattern: readonly string[];
}

const compiledRules = new WeakMap<ServiceConfig, readonly CompiledRule[]>();

function compile(service: ServiceConfig): readonly CompiledRule[] {
  const known = compiledRules.get(service);
  if (known !== undefined) return known;
  const rules = service.rules.map((rule) => ({ rule, pattern: segmentsOf(rule.path) }));
  compiledRules.set(service, rules);
  return rules;
}

/**
 * Returns the first rule that matches a request, or `undefined` when there is none.
 *
 * A path with empty or dot segments, including percent-encoded ones, matches no rule: a backend
 * server could interpret it as a path of another rule.
 *
 * @param service The service; its patterns are compiled once and cached while it is referenced.
 * @param method HTTP method in upper case.
 * @param path Path after the service's name, with its leading slash and without the query.
 */
export function matchRule(service: ServiceConfig, method: string, path: string): Rule | undefined {
  const segments = decodePath(path);
  if (segments === undefined) return undefined;
  const isMatch = ({ rule, pattern }: CompiledRule) =>
    (rule.method === ANY_METHOD || rule.method === method) && matchesPattern(pattern, segments);
  return compile(service).find(isMatch)?.rule;
}
