import type { ConfigRevision, FleetConfig, Revision } from '@mimosamill/core';
import type { Member } from '../peer/membership';

export type PullOutcome =
  | {
      readonly kind: 'tail';
      /** The peer's own revision; the tail may end before it. */
      readonly revision: Revision;
      readonly revisions: readonly ConfigRevision[];
    }
  /** Everything, because it was asked for or the peer no longer holds the tail. */
  | { readonly kind: 'config'; readonly config: FleetConfig }
  | { readonly kind: 'unavailable'; readonly message: string };

export type PushOutcome =
  | { readonly kind: 'ok'; readonly revision: Revision }
  | { readonly kind: 'unavailable'; readonly message: string };

/** What a reader sends to the routers of its failure domain, and admin to its host's router. */
export interface ConfigPush {
  /** Peer address of the sender, from which missing revisions can be pulled. */
  readonly from: string;
  /** The sender's revision. */
  readonly revision: Revision;
  /** The last revisions, as far as they fit into one message. */
  readonly revisions: readonly ConfigRevision[];
}

/** The way to other routers' configuration. */
export interface ConfigPeers {
  /** Without `after`, the whole configuration is asked for. */
  readonly pull: (member: Member, after: Revision | undefined) => Promise<PullOutcome>;
  readonly push: (member: Member, push: ConfigPush) => Promise<PushOutcome>;
}

/** Part of a serialised configuration; a whole one may exceed the size of a message. */
export type SnapshotPart =
  | {
      readonly kind: 'part';
      readonly revision: Revision;
      readonly text: string;
      readonly nextOffset: number;
      readonly totalChars: number;
    }
  /** There is no configuration, or no longer the one of this revision. */
  | { readonly kind: 'gone' };

/** What a router answers to its peers. */
export interface ConfigPeerHandler {
  readonly revision: () => Revision;
  readonly isReady: () => boolean;
  /** Undefined if the tail is no longer held in full. */
  readonly revisionsAfter: (after: Revision) => readonly ConfigRevision[] | undefined;
  /** A `revision` of undefined asks for the current configuration. */
  readonly snapshotPart: (revision: Revision | undefined, offset: number) => SnapshotPart;
  readonly acceptPush: (push: ConfigPush) => Revision;
  /** Takes a revision that was just accepted on this host and spreads it to all readers. */
  readonly announce: (push: ConfigPush) => Revision;
  readonly members: () => readonly Member[];
}

/** Messages between routers are bounded by 256 KB; the rest is left for escaping and framing. */
export const MAX_MESSAGE_CHARS = 128 * 1024;

/** As many of the first revisions as fit into one message, but at least one. */
export function takeRevisionsForMessage(
  revisions: readonly ConfigRevision[],
): readonly ConfigRevision[] {
  let sizeBytes = 0;
  const end = revisions.findIndex((entry, index) => {
    sizeBytes += Buffer.byteLength(JSON.stringify(entry));
    return index > 0 && sizeBytes > MAX_MESSAGE_CHARS;
  });
  return end === -1 ? revisions : revisions.slice(0, end);
}
