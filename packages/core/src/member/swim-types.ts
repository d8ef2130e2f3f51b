import type { FailureDomain, Region, Revision, RouterId } from '../ids';
import type { Hash32 } from '../hash/rendezvous';
import type { MemberUpdate, GossipedState, MemberEntry } from './member-entry';

export interface SwimSettings {
  readonly routerId: RouterId;
  readonly address: string;
  readonly peerAddress: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  /** Must be higher than at any earlier start of the same router, e.g. the start time. */
  readonly incarnation: number;
  /** Peer addresses that a starting node probes to find the other members. */
  readonly seeds: readonly string[];
  readonly periodMs: number;
  readonly probeTimeoutMs: number;
  /** How long a dead member is remembered before it is forgotten. */
  readonly deadRetentionMs: number;
  readonly syncIntervalMs: number;
  /** Interval of probes to dead and unreachable members, and to listed addresses not yet known. */
  readonly reconnectIntervalMs: number;
  readonly hash: Hash32;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Intervals and timeouts of the protocol. */
export type SwimTimes = Pick<
  SwimSettings,
  'periodMs' | 'probeTimeoutMs' | 'deadRetentionMs' | 'syncIntervalMs' | 'reconnectIntervalMs'
>;

export const SWIM_DEFAULTS: SwimTimes = {
  periodMs: 1_000,
  probeTimeoutMs: 500,
  deadRetentionMs: 600_000,
  syncIntervalMs: 10_000,
  reconnectIntervalMs: 10_000,
};

/** A probe or its acknowledgement. */
export interface SwimMessage {
  readonly from: MemberUpdate;
  readonly revision: Revision;
  readonly updates: readonly MemberUpdate[];
}

/** Starts an anti-entropy exchange with a checksum of each bucket of the sender's members. */
export interface SyncRequest {
  readonly from: MemberUpdate;
  readonly buckets: readonly number[];
}

/** Answers with the receiver's checksums, and its members in the buckets that differ. */
export interface SyncReply {
  readonly from: MemberUpdate;
  readonly buckets: readonly number[];
  readonly updates: readonly MemberUpdate[];
}

export interface ProbeTarget {
  /** Undefined while only the address is known, from the seeds or the host list. */
  readonly routerId: RouterId | undefined;
  readonly peerAddress: string;
}

export type SwimEvent =
  | { readonly kind: 'tick' }
  | { readonly kind: 'ping'; readonly replyId: number; readonly message: SwimMessage }
  | {
      readonly kind: 'ping_req';
      readonly replyId: number;
      readonly message: SwimMessage;
      readonly target: ProbeTarget;
    }
  | { readonly kind: 'ack'; readonly seq: number; readonly message: SwimMessage }
  | { readonly kind: 'no_ack'; readonly seq: number }
  | { readonly kind: 'sync'; readonly replyId: number; readonly request: SyncRequest }
  | { readonly kind: 'sync_ack'; readonly seq: number; readonly reply: SyncReply }
  | {
      readonly kind: 'push';
      readonly from: MemberUpdate;
      readonly updates: readonly MemberUpdate[];
    }
  /** The host list was read. */
  | { readonly kind: 'hosts'; readonly peerAddresses: readonly string[] }
  | { readonly kind: 'revision'; readonly revision: Revision }
  /** A planned shutdown has begun: the node takes no new work. */
  | { readonly kind: 'leave' }
  /** The process ends now. */
  | { readonly kind: 'stop' };

export type SwimEffect =
  | {
      readonly kind: 'ping';
      readonly seq: number;
      readonly target: ProbeTarget;
      readonly message: SwimMessage;
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'ping_req';
      readonly seq: number;
      readonly via: string;
      readonly target: ProbeTarget;
      readonly message: SwimMessage;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'reply'; readonly replyId: number; readonly message: SwimMessage }
  /** Tells the member that asked for a relayed probe that the target did not acknowledge it. */
  | { readonly kind: 'refuse'; readonly replyId: number }
  | {
      readonly kind: 'sync';
      readonly seq: number;
      readonly to: string;
      readonly request: SyncRequest;
    }
  | { readonly kind: 'sync_reply'; readonly replyId: number; readonly reply: SyncReply }
  | {
      readonly kind: 'push';
      readonly to: string;
      readonly from: MemberUpdate;
      readonly updates: readonly MemberUpdate[];
    }
  /** A member has a new state for other modules; 'forgotten' means that its entry was removed. */
  | {
      readonly kind: 'changed';
      readonly routerId: RouterId;
      readonly state: GossipedState | 'unreachable' | 'forgotten';
    }
  /** A peer has a newer configuration revision than this node. */
  | { readonly kind: 'newer_revision'; readonly revision: Revision; readonly peerAddress: string };

/** SWIM membership: detects failed members and spreads member states to all nodes. */
export interface Swim {
  readonly onEvent: (event: SwimEvent, nowMs: number) => SwimEffect[];
  readonly self: () => MemberUpdate;
  readonly entries: () => Iterable<Readonly<MemberEntry>>;
  readonly find: (routerId: RouterId) => Readonly<MemberEntry> | undefined;
}
