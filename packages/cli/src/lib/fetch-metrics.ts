import { type ResultAsync, fromPromise } from 'neverthrow';

const FETCH_TIMEOUT_MS = 5_000;

async function fetchText(url: string): Promise<string> {
  const res = await fetch(url, { signal: AbortSignal.timeout(FETCH_TIMEOUT_MS) });
  if (!res.ok) throw new Error(`status ${res.status}`);
  return res.text();
}

/** Fetches the text of a router's metrics; the error gives the URL and the reason. @internal */
export function fetchMetrics(url: string): ResultAsync<string, string> {
  return fromPromise(fetchText(url), (cause) => `cannot read ${url}: ${String(cause)}`);
}
