import * as v from 'valibot';

import type { LogLine } from './log-lines.js';

/** Other log lines count as related from this long before the request's first line. */
const WINDOW_BEFORE_MS = 5_000;
/** Other log lines count as related until this long after the request's last line. */
const WINDOW_AFTER_MS = 1_000;

const detailsSchema = v.object({
  key: v.optional(v.number()),
  tries: v.optional(v.array(v.looseObject({ server: v.string() })), []),
});

/** Routers, backend servers and keys that a request's log lines name. */
interface RequestScope {
  readonly routers: ReadonlySet<string>;
  readonly servers: ReadonlySet<string>;
  readonly keys: ReadonlySet<number>;
}

function scopeOf(lines: readonly LogLine[]): RequestScope {
  const details = lines.flatMap((it) => {
    const parsed = v.safeParse(detailsSchema, it);
    return parsed.success ? [parsed.output] : [];
  });
  return {
    routers: new Set(lines.map((it) => it.router)),
    servers: new Set(details.flatMap((it) => it.tries.map(({ server }) => server))),
    keys: new Set(details.flatMap((it) => it.key ?? [])),
  };
}

function namesServer(line: LogLine, servers: ReadonlySet<string>): boolean {
  const named = [line.server, line.to, line.from].flat();
  return named.some((it) => typeof it === 'string' && servers.has(it));
}

function coversKey(line: LogLine, keys: ReadonlySet<number>): boolean {
  const { first, last } = line;
  if (typeof first !== 'number' || typeof last !== 'number') return false;
  return [...keys].some((key) => key >= first && key <= last);
}

/**
 * Returns whether a line of no request concerns the given scope. A line about a range of keys counts
 * only if the range contains a key of the scope, whatever its router or servers.
 */
function isRelated(line: LogLine, scope: RequestScope): boolean {
  if (line.request !== undefined) return false;
  const hasRange = line.first !== undefined;
  if (hasRange) return coversKey(line, scope.keys);
  return namesServer(line, scope.servers) || scope.routers.has(line.router);
}

/**
 * Collects the log lines that explain a request, oldest first: its own lines, and other lines from
 * around the same time about its routers, the servers that it was sent to and the range of its key.
 */
export function traceRequest(lines: readonly LogLine[], requestId: string): LogLine[] {
  const own = lines.filter((it) => it.request === requestId);
  if (own.length === 0) return [];
  const scope = scopeOf(own);
  const times = own.map((it) => Date.parse(it.time));
  const fromMs = Math.min(...times) - WINDOW_BEFORE_MS;
  const toMs = Math.max(...times) + WINDOW_AFTER_MS;
  const related = lines.filter((it) => {
    const atMs = Date.parse(it.time);
    return atMs >= fromMs && atMs <= toMs && isRelated(it, scope);
  });
  return [...own, ...related].sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
}
