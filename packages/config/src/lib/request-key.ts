import { decodePath } from './path-pattern.js';
import type { ServiceConfig } from './service-config.js';

/** Maximum length of a key, in UTF-16 code units. */
export const MAX_KEY_LENGTH = 1_024;

/** Parts of a request from which its key can be extracted. */
export interface RequestParts {
  /** Path after the service's name, with its leading slash and without the query. */
  readonly path: string;
  /** Query without its question mark; empty when there is none. */
  readonly query: string;
  /** Returns a header by its case-insensitive name. */
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
 * Returns the key of a request, percent-decoded when it comes from the path or query. Returns
 * `undefined` when the key is missing, empty, malformed or longer than {@link MAX_KEY_LENGTH}.
 */
export function extractKey(service: ServiceConfig, parts: RequestParts): string | undefined {
  const key = readKey(service, parts);
  if (key === undefined || key === '' || key.length > MAX_KEY_LENGTH) return undefined;
  return key;
}
