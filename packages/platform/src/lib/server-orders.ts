/** A range of keys, both ends inclusive. */
export interface KeySpan {
  readonly first: number;
  readonly last: number;
}

/** An order to a backend server about a range of keys. */
export interface RangeOrder extends KeySpan {
  /**
   * Fencing token: the server refuses an order with a lower token than it has seen for these keys.
   */
  readonly fence: number;
}

/** A grant of a lease, or its renewal if the same grant was sent before. */
export interface GrantOrder extends RangeOrder {
  /** Duration of the lease in milliseconds, counted from the arrival of the order. */
  readonly leaseMs: number;
  /** State that the former owner returned when it released the range. */
  readonly handover: string | undefined;
}

/** The backend server that an order is sent to. */
export interface OrderTarget {
  readonly serverId: string;
  /** IP address and port. */
  readonly address: string;
}

/**
 * Outcome of an order:
 * - `done`: carried out.
 * - `fenced`: refused, since the server has seen a higher fencing token.
 * - `misdirected`: not carried out, since another server has the address now.
 * - `refused`: not carried out, since the server rejected the order.
 * - `closed`: not carried out, since the connection was refused: the process has ended, listens no more,
 *   or the path to it is cut.
 * - `unreachable`: not sent, since no connection could be opened.
 * - `unanswered`: sent without an answer; the server may still carry it out.
 */
export type OrderOutcome =
  | { readonly kind: 'done'; readonly handover: string | undefined }
  | {
      readonly kind: 'fenced' | 'misdirected' | 'refused' | 'closed' | 'unreachable' | 'unanswered';
    };

/** Grants backend servers leases on key ranges, and releases them. */
export interface ServerOrders {
  /** Grants or renews a lease. */
  grant(
    target: OrderTarget,
    order: GrantOrder,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<OrderOutcome>;
  /** Stops new requests for the keys; answered once the running requests for them have ended. */
  release(
    target: OrderTarget,
    order: RangeOrder,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<OrderOutcome>;
}
