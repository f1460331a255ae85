import { decodePath } from './path-pattern.js';
import type { ServiceConfig } from './service-config.js';

/** Longest key, in characters. */
export const MAX_KEY_LENGTH = 1_024;

/** What a key can be taken from. */
export interface RequestParts {
  /** Path after the service's name, with its leading slash and without the query. */
  readonly path: string;
  /** Query without its question mark; empty when there is none. */
  readonly query: string;
  /** Returns a header by its name, in any case of letters. */
  header(name: string): string | undefined;
}

function readKey(service: ServiceConfig, parts: RequestParts): string | undefined {
  const source = service.key;
  switch (source.from) {
    case 'header':
      return parts.header(source.name);
    case 'query':
      return new URLSearchParams(parts.query).get(source.name) ?? undefined;
    case 'path':
      return decodePath(parts.path)?.[source.segment];
  }
}

/**
 * Returns the key of a request, percent-decoded when it stands in the path or query. Returns
 * `undefined` when the key is missing, empty, malformed or longer than {@link MAX_KEY_LENGTH}.
 */
export function extractKey(service: ServiceConfig, parts: RequestParts): string | undefined {
  const key = readKey(service, parts);
  if (key === undefined || key === '' || key.length > MAX_KEY_LENGTH) return undefined;
  return key;
}
