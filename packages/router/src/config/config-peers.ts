import type { ConfigRevision, FleetConfig, Revision } from '@mimosamill/core';
import type { Member } from '../peer/membership';

export type PullOutcome =
  | {
      readonly kind: 'tail';
      /** The peer's current revision; `revisions` may end before it. */
      readonly revision: Revision;
      readonly revisions: readonly ConfigRevision[];
    }
  /** The whole configuration: it was requested, or the peer no longer has the missing revisions. */
  | { readonly kind: 'config'; readonly config: FleetConfig }
  | { readonly kind: 'unavailable'; readonly message: string };

export type PushOutcome =
  | { readonly kind: 'ok'; readonly revision: Revision }
  | { readonly kind: 'unavailable'; readonly message: string };

/**
 * Sent by a store reader to the routers of its failure domain, and by the admin server to the router
 * on its host.
 */
export interface ConfigPush {
  /** Peer address of the sender, from which missing revisions can be pulled. */
  readonly from: string;
  /** The sender's revision. */
  readonly revision: Revision;
  /** Revisions that the receiver may lack, as far as they fit into one message. */
  readonly revisions: readonly ConfigRevision[];
}

/** Exchanges configuration with other routers. */
export interface ConfigPeers {
  /** Requests the revisions after `after`, or the whole configuration if `after` is undefined. */
  readonly pull: (member: Member, after: Revision | undefined) => Promise<PullOutcome>;
  readonly push: (member: Member, push: ConfigPush) => Promise<PushOutcome>;
}

/** Part of a serialised configuration, which as a whole may be too large for one message. */
export type SnapshotPart =
  | {
      readonly kind: 'part';
      readonly revision: Revision;
      readonly text: string;
      readonly nextOffset: number;
      readonly totalChars: number;
    }
  /** The peer has no configuration, or no longer has the requested revision. */
  | { readonly kind: 'gone' };

/** Handlers of the 'config' procedures that peers call. */
export interface ConfigPeerHandler {
  readonly revision: () => Revision;
  readonly isReady: () => boolean;
  /** Undefined if some of these revisions are no longer kept. */
  readonly revisionsAfter: (after: Revision) => readonly ConfigRevision[] | undefined;
  /** Selects the current configuration if `revision` is undefined. */
  readonly snapshotPart: (revision: Revision | undefined, offset: number) => SnapshotPart;
  readonly acceptPush: (push: ConfigPush) => Revision;
  /** Applies a revision that was just accepted on this host and pushes it to all store readers. */
  readonly announce: (push: ConfigPush) => Revision;
  readonly members: () => readonly Member[];
}

/** Half of the bound of 256 KB on messages between routers, to leave room for escaping and framing. */
export const MAX_MESSAGE_CHARS = 128 * 1024;

/** The first revisions, as many as fit into one message, but at least one. */
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
