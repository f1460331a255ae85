/** A range of keys, both ends inclusive. */
export interface KeySpan {
  readonly first: number;
  readonly last: number;
}

/** An order to a backend server about keys. */
export interface RangeOrder extends KeySpan {
  /** Fencing token: a higher one wins. */
  readonly fence: number;
}

/** A grant, or its renewal when it repeats an earlier one. */
export interface GrantOrder extends RangeOrder {
  /** Lease length in milliseconds, from the arrival of the order. */
  readonly leaseMs: number;
  /** State that the former owner handed over. */
  readonly handover: string | undefined;
}

/** Where an order goes. */
export interface OrderTarget {
  readonly serverId: string;
  /** IP address and port. */
  readonly address: string;
}

/**
 * What became of an order:
 * - `done`: carried out.
 * - `fenced`: refused, the server has seen a higher fencing token.
 * - `misdirected`: another server has the address now; not carried out.
 * - `refused`: the server didn't take the order; not carried out.
 * - `gone`: nothing listens at the address; not carried out, and the process is gone.
 * - `unreachable`: no connection came about; not sent.
 * - `unanswered`: sent, and maybe carried out later.
 */
export type OrderOutcome =
  | { readonly kind: 'done'; readonly handover: string | undefined }
  | {
      readonly kind: 'fenced' | 'misdirected' | 'refused' | 'gone' | 'unreachable' | 'unanswered';
    };

/** Gives backend servers leases on key ranges and takes them back. */
export interface ServerOrders {
  /** Grants or renews a lease. */
  grant(
    target: OrderTarget,
    order: GrantOrder,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<OrderOutcome>;
  /** Stops new work on the keys; answered when running work on them has ended. */
  release(
    target: OrderTarget,
    order: RangeOrder,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<OrderOutcome>;
}
