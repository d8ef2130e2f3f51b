import type { FailureDomain, Region, RouterId } from '@mimosamill/core';

/** A router of the fleet, as this router sees it. */
export interface Member {
  readonly routerId: RouterId;
  /** IP and port of the caller-facing server. */
  readonly address: string;
  /** IP and port of the tRPC server for peers. */
  readonly peerAddress: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  readonly state: 'alive' | 'suspect' | 'leaving' | 'dead' | 'unreachable';
  readonly incarnation: number;
}

/** Read side of the membership, for the other modules of the router. */
export interface Membership {
  readonly self: () => Member;
  /** Every known member, this router included. */
  readonly members: () => readonly Member[];
  readonly onChange: (fn: (members: readonly Member[]) => void) => void;
}
