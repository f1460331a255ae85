import type { HeaderValues } from '@boragepoint/platform';

/** Hop-by-hop headers, which concern one connection only. */
const HOP_BY_HOP = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

function namedByConnection(value: string | undefined): Set<string> {
  return new Set((value ?? '').split(',').map((it) => it.trim().toLowerCase()));
}

/**
 * Returns the request headers for the backend server, names and values in alternation. Headers in
 * `added` replace those of the same name.
 */
export function requestHeaders(
  rawHeaders: readonly string[],
  connection: string | undefined,
  added: Readonly<Record<string, string>>,
): string[] {
  const dropped = namedByConnection(connection);
  const replaced = new Set(Object.keys(added).map((it) => it.toLowerCase()));
  const headers: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || dropped.has(lower) || replaced.has(lower)) continue;
    if (lower === 'content-length') continue;
    headers.push(name, rawHeaders[index + 1] ?? '');
  }
  for (const [name, value] of Object.entries(added)) headers.push(name, value);
  return headers;
}

/**
 * Returns the headers of an answer for the caller, without its length: that is set from the whole
 * body.
 */
export function answerHeaders(headers: HeaderValues): Record<string, string | string[]> {
  const dropped = namedByConnection([headers.connection].flat().join(','));
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || dropped.has(name)) continue;
    if (name === 'content-length') continue;
    kept[name] = value;
  }
  return kept;
}
