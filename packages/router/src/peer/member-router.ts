import {
  messageSchema,
  packGossipItem,
  packMessage,
  packUpdate,
  pingReqSchema,
  pushSchema,
  syncSchema,
  unpackGossipItem,
  unpackMessage,
  unpackProbeTarget,
  unpackUpdate,
} from './wire';
import { createPeerRouter, peerProcedure } from './trpc';
import type {
  Gossip,
  GossipItem,
  MemberUpdate,
  ProbeTarget,
  SwimMessage,
  SyncReply,
  SyncRequest,
} from '@mimosamill/core';
import type { MessageTuple, SyncReplyTuple } from './wire';

/** What the membership does for calling peers. */
export interface MemberHandlers {
  readonly onPing: (message: SwimMessage) => SwimMessage | undefined;
  /** Undefined if the target did not answer the relayed probe. */
  readonly onPingReq: (
    message: SwimMessage,
    target: ProbeTarget,
  ) => Promise<SwimMessage | undefined>;
  readonly onSync: (request: SyncRequest) => SyncReply | undefined;
  readonly onPush: (from: MemberUpdate, updates: readonly MemberUpdate[]) => void;
  readonly onItems: (items: readonly GossipItem[]) => void;
  readonly takeItems: (message: SwimMessage) => readonly GossipItem[];
  readonly gossip: Gossip;
  readonly nowMs: () => number;
}

const MAX_SYNC_ITEMS = 64;

/** The sub-router 'member'. */
export function createMemberRouter(handlers: MemberHandlers) {
  function answer(message: SwimMessage | undefined): MessageTuple | null {
    if (message === undefined) return null;
    return packMessage(message, handlers.takeItems(message));
  }

  return createPeerRouter({
    ping: peerProcedure.input(messageSchema).mutation(({ input }): MessageTuple | null => {
      const { message, gossip } = unpackMessage(input);
      handlers.onItems(gossip);
      return answer(handlers.onPing(message));
    }),
    pingReq: peerProcedure
      .input(pingReqSchema)
      .mutation(async ({ input }): Promise<MessageTuple | null> => {
        const [tuple, routerId, peerAddress] = input;
        const { message, gossip } = unpackMessage(tuple);
        handlers.onItems(gossip);
        return answer(await handlers.onPingReq(message, unpackProbeTarget(routerId, peerAddress)));
      }),
    sync: peerProcedure.input(syncSchema).mutation(({ input }): SyncReplyTuple | null => {
      const [from, buckets, itemBuckets] = input;
      const reply = handlers.onSync({ from: unpackUpdate(from), buckets });
      if (reply === undefined) return null;
      const wallMs = handlers.nowMs();
      const items = handlers.gossip.missing(itemBuckets, MAX_SYNC_ITEMS, wallMs);
      return [
        packUpdate(reply.from),
        [...reply.buckets],
        handlers.gossip.buckets(wallMs),
        reply.updates.map(packUpdate),
        items.map(packGossipItem),
      ];
    }),
    push: peerProcedure.input(pushSchema).mutation(({ input }): null => {
      const [from, updates, items] = input;
      handlers.onItems(items.map(unpackGossipItem));
      handlers.onPush(unpackUpdate(from), updates.map(unpackUpdate));
      return null;
    }),
  });
}

export type MemberRouter = ReturnType<typeof createMemberRouter>;
