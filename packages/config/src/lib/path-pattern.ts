/** Pattern segment that matches exactly one segment. */
const ANY_SEGMENT = '*';
/** Last pattern segment that matches the rest of a path, which may be empty. */
const ANY_REST = '**';
const DOT_SEGMENTS = new Set(['.', '..']);
const SEPARATORS = /[/\\]/;

/** Returns what is wrong with a pattern; `undefined` when it is valid. @internal */
export function patternProblem(pattern: string): string | undefined {
  if (!pattern.startsWith('/')) return 'must start with /';
  if (/[?#\s]/.test(pattern)) return 'must hold no query, fragment or white space';
  const segments = segmentsOf(pattern);
  if (segments.includes('')) return 'must hold no empty segment';
  if (segments.some((it) => DOT_SEGMENTS.has(it))) return 'must hold no . or .. segment';
  if (segments.slice(0, -1).includes(ANY_REST)) return 'may hold ** only at its end';
  const isPartial = (it: string) =>
    it.includes(ANY_SEGMENT) && it !== ANY_SEGMENT && it !== ANY_REST;
  if (segments.some(isPartial)) return 'may use * and ** only as a whole segment';
  return undefined;
}

/** Splits a path or pattern into segments; a trailing slash is ignored. @internal */
export function segmentsOf(path: string): string[] {
  const trimmed = path.replace(/^\//, '').replace(/\/$/, '');
  return trimmed === '' ? [] : trimmed.split('/');
}

function decode(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}

function isAmbiguous(segment: string): boolean {
  if (segment === '') return true;
  return segment.split(SEPARATORS).some((part) => DOT_SEGMENTS.has(part));
}

/**
 * Decodes the segments of a request's path. Returns `undefined` for a malformed path, and for one
 * that a backend server could interpret as another path: one with empty or dot segments, including
 * percent-encoded ones. @internal
 */
export function decodePath(path: string): string[] | undefined {
  if (!path.startsWith('/')) return undefined;
  const decoded: string[] = [];
  for (const raw of segmentsOf(path)) {
    const segment = decode(raw);
    if (segment === undefined || isAmbiguous(segment)) return undefined;
    decoded.push(segment);
  }
  return decoded;
}

/** Tells whether a pattern matches the decoded segments of a path. @internal */
export function matchesPattern(pattern: readonly string[], path: readonly string[]): boolean {
  const endsInRest = pattern.at(-1) === ANY_REST;
  const fixed = endsInRest ? pattern.slice(0, -1) : pattern;
  if (endsInRest ? path.length < fixed.length : path.length !== fixed.length) return false;
  return fixed.every((segment, index) => segment === ANY_SEGMENT || segment === path[index]);
}

/** Tells whether the wide pattern matches every path that the narrow one matches. @internal */
export function coversPattern(wide: readonly string[], narrow: readonly string[]): boolean {
  for (const [index, segment] of wide.entries()) {
    if (segment === ANY_REST) return true;
    const other = narrow[index];
    if (other === undefined || other === ANY_REST) return false;
    if (segment !== ANY_SEGMENT && segment !== other) return false;
  }
  return narrow.length === wide.length;
}

/** Tells whether paths that match the pattern can have a segment at this position. @internal */
export function reachesSegment(pattern: readonly string[], position: number): boolean {
  return pattern.length > position || pattern.at(-1) === ANY_REST;
}
