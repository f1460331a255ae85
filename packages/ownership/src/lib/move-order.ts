/** A shard that an operator or the planner wants moved. */
export interface MoveOrder {
  readonly shard: number;
  /** Epoch under which the order was made; an order for an older epoch is refused. */
  readonly epoch: number;
  /** Backend server that is to own it. */
  readonly to: string;
}
