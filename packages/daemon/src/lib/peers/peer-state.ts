import type { AssignmentMap, Membership, RowStore } from '@boragepoint/ownership';
import { configKey } from '@boragepoint/ownership';
import { type PeerState, PeerStateSchema } from '@boragepoint/protocol';
import {
  type LoadExchange,
  type Quarantine,
  fromPeerEntry,
  toPeerEntry,
} from '@boragepoint/routing';
import { type MessageInitShape } from '@bufbuild/protobuf';

/** Maximum number of quarantine entries in one heartbeat; the newest take precedence. */
const MAX_QUARANTINE_ENTRIES = 32;

/** Sources of this router's state, which the states of peers are merged into. */
export interface PeerStateContext {
  readonly rows: RowStore;
  readonly map: AssignmentMap;
  readonly membership: Membership;
  readonly quarantine: Quarantine;
  readonly load: LoadExchange;
  /** Returns the load summary for the next heartbeat; empty when none is due. */
  loadSummary(): string;
  onInvalidSummary(peer: string, cause: Error): void;
  /** Returns the backend servers that this router is the keeper of but can't reach. */
  ownUnreachable(): string[];
}

/** Returns the state of this router for a heartbeat. */
export function describeSelf(ctx: PeerStateContext): MessageInitShape<typeof PeerStateSchema> {
  const { id, incarnation, availabilityZone, region, leaving } = ctx.membership.self;
  return {
    sender: { id, incarnation },
    availabilityZone,
    region,
    rowsDigest: ctx.rows.digest(),
    leaving,
    unreachableServers: ctx.ownUnreachable(),
    unrecordedMoves: ctx.map.unrecorded().map((it) => ({ ...it, epoch: BigInt(it.epoch) })),
    quarantine: ctx.quarantine.entries(MAX_QUARANTINE_ENTRIES).map(toPeerEntry),
    loadSummary: ctx.loadSummary(),
    configurations: ctx.map.services().map(({ name }) => ({
      key: configKey(name),
      version: BigInt(ctx.map.configVersion(name)),
    })),
  };
}

/** Merges the state of a peer. */
export function mergePeerState(ctx: PeerStateContext, state: PeerState): void {
  const { sender, availabilityZone, region, leaving } = state;
  if (sender === undefined) return;
  const { id, incarnation } = sender;
  ctx.membership.heardFrom({ id, incarnation, availabilityZone, region, leaving });
  ctx.map.addUnrecorded(
    state.unrecordedMoves.map((it) => ({
      service: it.service,
      shard: it.shard,
      owner: it.owner,
      epoch: Number(it.epoch),
    })),
  );
  ctx.quarantine.merge(state.quarantine.map(fromPeerEntry));
  const summary = ctx.load.receive(id, state.loadSummary);
  if (summary.isErr()) ctx.onInvalidSummary(id, summary.error);
}
