import { asRevision } from '../ids';
import { CHANGE_KINDS, applyChanges } from './change';
import { DEFAULTS } from './model';
import type { Revision } from '../ids';
import type { ConfigRevision } from './change';
import type { FleetConfig } from './model';

/** The configuration before the first revision. */
export const EMPTY_CONFIG: FleetConfig = {
  revision: asRevision(0),
  defaults: DEFAULTS,
  exceptions: {},
  services: {},
  customers: {},
  teams: {},
};

export type ReplicaEffect =
  | { readonly kind: 'changed'; readonly config: FleetConfig }
  /** Revisions after `afterRevision` are missing and have to be pulled. */
  | { readonly kind: 'gap'; readonly afterRevision: Revision; readonly upToRevision: Revision }
  /** A newer release wrote a change that this one cannot apply; the replica stays where it is. */
  | { readonly kind: 'unsupported'; readonly revision: Revision };

/** A copy of the configuration that moves forward one revision at a time. */
export interface Replica {
  readonly current: () => FleetConfig | undefined;
  /** 0 while there is no configuration. */
  readonly revision: () => Revision;
  /** Highest revision heard of from anyone. */
  readonly highestHeard: () => Revision;
  readonly hear: (revision: Revision) => ReplicaEffect[];
  /** Takes a whole configuration if it is newer than the current one. */
  readonly install: (config: FleetConfig) => ReplicaEffect[];
  readonly offer: (revisions: readonly ConfigRevision[]) => ReplicaEffect[];
  /** Recent revisions after the given one; undefined if some of them are no longer held. */
  readonly tailAfter: (revision: Revision) => readonly ConfigRevision[] | undefined;
}

/** Creates an empty replica that keeps the last `tailLength` revisions for its peers. */
export function createReplica(tailLength: number): Replica {
  let config: FleetConfig | undefined;
  let heard = asRevision(0);
  let tail: ConfigRevision[] = [];

  const revision = (): Revision => config?.revision ?? asRevision(0);

  function findGap(): ReplicaEffect[] {
    if (heard <= revision()) return [];
    return [{ kind: 'gap', afterRevision: revision(), upToRevision: heard }];
  }

  function hear(other: Revision): ReplicaEffect[] {
    if (other > heard) heard = other;
    return findGap();
  }

  function offer(revisions: readonly ConfigRevision[]): ReplicaEffect[] {
    const before = config;
    const ordered = [...revisions].sort((a, b) => a.revision - b.revision);
    let unsupported: Revision | undefined;
    ordered.forEach((entry) => {
      if (entry.revision > heard) heard = entry.revision;
      if (config === undefined || entry.revision !== config.revision + 1) return;
      if (!entry.changes.every((change) => CHANGE_KINDS.includes(change.kind))) {
        unsupported = entry.revision;
        return;
      }
      config = applyChanges(config, entry.changes);
      tail = [...tail, entry].slice(-tailLength);
    });
    const changed: ReplicaEffect[] =
      config === undefined || config === before ? [] : [{ kind: 'changed', config }];
    if (unsupported === undefined) return [...changed, ...findGap()];
    return [...changed, { kind: 'unsupported', revision: unsupported }];
  }

  function install(next: FleetConfig): ReplicaEffect[] {
    if (config !== undefined && next.revision <= config.revision) return findGap();
    config = next;
    tail = [];
    if (next.revision > heard) heard = next.revision;
    return [{ kind: 'changed', config: next }, ...findGap()];
  }

  return {
    current: () => config,
    revision,
    highestHeard: () => heard,
    hear,
    install,
    offer,
    tailAfter: (after) => {
      if (config === undefined) return undefined;
      if (after >= config.revision) return [];
      const held = tail.filter((entry) => entry.revision > after);
      return held.length === config.revision - after ? held : undefined;
    },
  };
}
