import type { ResultName, Rule, ServiceConfig } from '@boragepoint/config';

/** A header's name and value. */
export interface HeaderLine {
  readonly name: string;
  readonly value: string;
}

/** A caller's request with its service, rule and key. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly service: ServiceConfig;
  readonly rule: Rule;
  readonly key: string;
  readonly method: string;
  /** Path after the service's name, with the query. */
  readonly path: string;
  readonly headers: readonly HeaderLine[];
  readonly body: Uint8Array;
  /** Identity between which the admission queue is fair. */
  readonly caller: string;
  readonly idempotencyKey?: string | undefined;
  /** True if the caller declares that it has sent the request before. */
  readonly isRepeat: boolean;
  /** Time on the monotonic clock by which the caller needs its answer, in milliseconds. */
  readonly deadlineAt: number;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** A complete answer of a backend server. */
export interface BackendAnswer {
  readonly status: number;
  readonly headers: readonly HeaderLine[];
  readonly body: Uint8Array;
}

/** Answer to the caller. */
export type RoutedAnswer =
  | { readonly kind: 'answered'; readonly answer: BackendAnswer; readonly replayed: boolean }
  | {
      readonly kind: 'refused';
      readonly result: ResultName;
      readonly message: string;
      readonly retryAfterMs?: number | undefined;
    };

/** Builds a refusal. */
export function refusal(
  result: ResultName,
  message: string,
  retryAfterMs?: number,
): RoutedAnswer & { kind: 'refused' } {
  return { kind: 'refused', result, message, retryAfterMs };
}
