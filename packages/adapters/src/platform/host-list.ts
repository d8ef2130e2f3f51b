import type { FailureDomain, HostId, Region } from '@mimosamill/core';

/** An entry of the platform's host list, which shows changes of the hosts with a delay. */
export interface ListedHost {
  readonly hostId: HostId;
  readonly role: 'router' | 'engine' | 'service';
  /** Service that the engine or server belongs to; empty for routers. */
  readonly service: string;
  /** IP and port. */
  readonly address: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  readonly state: 'live' | 'leaving';
}

export type HostListOutcome =
  | { readonly kind: 'ok'; readonly hosts: readonly ListedHost[]; readonly asOfMs: number }
  | { readonly kind: 'unavailable'; readonly message: string };

/** The platform's list of live and leaving hosts. */
export interface HostList {
  read(): Promise<HostListOutcome>;
}
