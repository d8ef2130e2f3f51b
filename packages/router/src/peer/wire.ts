import { asId, asRevision } from '@mimosamill/core';
import * as z from 'zod';
import type {
  FailureDomain,
  GossipItem,
  MemberUpdate,
  ProbeTarget,
  Region,
  RouterId,
  GossipedState,
} from '@mimosamill/core';

const MAX_TEXT_CHARS = 256;
const MAX_PAYLOAD_CHARS = 1_024;
const MAX_UPDATES = 64;
const MAX_ITEMS = 64;
const MAX_BUCKETS = 64;

const STATES: readonly GossipedState[] = ['alive', 'leaving', 'suspect', 'dead'];

const boundedText = z.string().max(MAX_TEXT_CHARS);
const nonNegativeInteger = z.number().int().nonnegative();

// Messages are arrays rather than objects: at 1 KB a message, field names would take a third.
const updateTuple = z.tuple([
  boundedText,
  boundedText,
  boundedText,
  boundedText,
  boundedText,
  nonNegativeInteger,
  nonNegativeInteger.max(3),
  boundedText,
  nonNegativeInteger,
]);
const gossipItemTuple = z.tuple([
  boundedText,
  boundedText,
  z.string().max(MAX_PAYLOAD_CHARS),
  nonNegativeInteger,
]);

const updates = z.array(updateTuple).max(MAX_UPDATES);
const gossipItems = z.array(gossipItemTuple).max(MAX_ITEMS);
const buckets = z.array(nonNegativeInteger).max(MAX_BUCKETS);

/** Sender, its configuration revision, updates, gossip items. */
export const messageSchema = z.tuple([updateTuple, nonNegativeInteger, updates, gossipItems]);
/** As a message, with the router to probe on the sender's behalf. */
export const pingReqSchema = z.tuple([messageSchema, boundedText, boundedText]);
/** Sender, buckets of the view, buckets of the gossip items. */
export const syncSchema = z.tuple([updateTuple, buckets, buckets]);
/** As a sync request, with the entries and items that differ. */
export const syncReplySchema = z.tuple([updateTuple, buckets, buckets, updates, gossipItems]);
export const pushSchema = z.tuple([updateTuple, updates, gossipItems]);

export type UpdateTuple = z.infer<typeof updateTuple>;
export type GossipItemTuple = z.infer<typeof gossipItemTuple>;
export type MessageTuple = z.infer<typeof messageSchema>;
export type SyncReplyTuple = z.infer<typeof syncReplySchema>;

export function packUpdate(update: MemberUpdate): UpdateTuple {
  return [
    update.routerId,
    update.address,
    update.peerAddress,
    update.region,
    update.failureDomain,
    update.incarnation,
    STATES.indexOf(update.state),
    update.suspectedBy ?? '',
    Math.round(update.ageMs ?? 0),
  ];
}

export function unpackUpdate(tuple: UpdateTuple): MemberUpdate {
  const [id, address, peerAddress, region, domain, incarnation, state, accuser, ageMs] = tuple;
  return {
    routerId: asId<RouterId>(id),
    address,
    peerAddress,
    region: asId<Region>(region),
    failureDomain: asId<FailureDomain>(domain),
    incarnation,
    state: STATES[state] ?? 'alive',
    ...(accuser === '' ? {} : { suspectedBy: asId<RouterId>(accuser) }),
    ...(ageMs === 0 ? {} : { ageMs }),
  };
}

export function packGossipItem(item: GossipItem): GossipItemTuple {
  return [item.kind, item.key, item.payload, Math.round(item.expiresAtMs)];
}

export function unpackGossipItem([kind, key, payload, expiresAtMs]: GossipItemTuple): GossipItem {
  return { kind, key, payload, expiresAtMs };
}

export function unpackProbeTarget(routerId: string, peerAddress: string): ProbeTarget {
  return { routerId: routerId === '' ? undefined : asId<RouterId>(routerId), peerAddress };
}

export function packMessage(
  message: {
    readonly from: MemberUpdate;
    readonly revision: number;
    readonly updates: readonly MemberUpdate[];
  },
  gossip: readonly GossipItem[],
): MessageTuple {
  const { from, revision } = message;
  return [packUpdate(from), revision, message.updates.map(packUpdate), gossip.map(packGossipItem)];
}

export function unpackMessage(tuple: MessageTuple) {
  const [from, revision, changes, gossip] = tuple;
  return {
    message: {
      from: unpackUpdate(from),
      revision: asRevision(revision),
      updates: changes.map(unpackUpdate),
    },
    gossip: gossip.map(unpackGossipItem),
  };
}
