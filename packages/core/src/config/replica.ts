import { asRevision } from '../ids';
import { CHANGE_KINDS, applyChanges } from './change';
import { FLEET_DEFAULTS } from './model';
import type { Revision } from '../ids';
import type { ConfigRevision } from './change';
import type { FleetConfig } from './model';

/** The configuration before the first revision. */
export const EMPTY_CONFIG: FleetConfig = {
  revision: asRevision(0),
  defaults: FLEET_DEFAULTS,
  exceptions: {},
  services: {},
  customers: {},
  teams: {},
};

export type ConfigReplicaEffect =
  | { readonly kind: 'changed'; readonly config: FleetConfig }
  /** The revisions after `afterRevision` are missing and have to be fetched. */
  | { readonly kind: 'gap'; readonly afterRevision: Revision; readonly upToRevision: Revision }
  /** This release can't apply a change written by a newer one; the replica stays at its revision. */
  | { readonly kind: 'unsupported'; readonly revision: Revision };

/** A copy of the configuration that advances one revision at a time, and never goes back. */
export interface ConfigReplica {
  readonly current: () => FleetConfig | undefined;
  /** 0 before a snapshot has been installed. */
  readonly revision: () => Revision;
  /** Highest revision known to exist, even if the replica lacks it. */
  readonly highestKnownRevision: () => Revision;
  readonly noteRevision: (revision: Revision) => ConfigReplicaEffect[];
  /** Replaces the configuration if the given one is newer. */
  readonly installSnapshot: (config: FleetConfig) => ConfigReplicaEffect[];
  readonly applyRevisions: (revisions: readonly ConfigRevision[]) => ConfigReplicaEffect[];
  /** The revisions after the given one; undefined if some of them are no longer held. */
  readonly revisionsAfter: (revision: Revision) => readonly ConfigRevision[] | undefined;
}

/** Creates an empty replica that keeps the last `maxRecent` revisions for its peers. */
export function createConfigReplica(maxRecent: number): ConfigReplica {
  let config: FleetConfig | undefined;
  let highestKnown = asRevision(0);
  let recent: ConfigRevision[] = [];

  const revision = (): Revision => config?.revision ?? asRevision(0);

  function findGap(): ConfigReplicaEffect[] {
    if (highestKnown <= revision()) return [];
    return [{ kind: 'gap', afterRevision: revision(), upToRevision: highestKnown }];
  }

  function noteRevision(other: Revision): ConfigReplicaEffect[] {
    if (other > highestKnown) highestKnown = other;
    return findGap();
  }

  function applyRevisions(revisions: readonly ConfigRevision[]): ConfigReplicaEffect[] {
    const before = config;
    const ordered = [...revisions].sort((a, b) => a.revision - b.revision);
    let unsupported: Revision | undefined;
    ordered.forEach((entry) => {
      if (entry.revision > highestKnown) highestKnown = entry.revision;
      if (config === undefined || entry.revision !== config.revision + 1) return;
      if (!entry.changes.every((change) => CHANGE_KINDS.includes(change.kind))) {
        unsupported = entry.revision;
        return;
      }
      config = applyChanges(config, entry.changes);
      recent = [...recent, entry].slice(-maxRecent);
    });
    const changed: ConfigReplicaEffect[] =
      config === undefined || config === before ? [] : [{ kind: 'changed', config }];
    if (unsupported === undefined) return [...changed, ...findGap()];
    return [...changed, { kind: 'unsupported', revision: unsupported }];
  }

  function installSnapshot(next: FleetConfig): ConfigReplicaEffect[] {
    if (config !== undefined && next.revision <= config.revision) return findGap();
    config = next;
    recent = [];
    if (next.revision > highestKnown) highestKnown = next.revision;
    return [{ kind: 'changed', config: next }, ...findGap()];
  }

  return {
    current: () => config,
    revision,
    highestKnownRevision: () => highestKnown,
    noteRevision,
    installSnapshot,
    applyRevisions,
    revisionsAfter: (after) => {
      if (config === undefined) return undefined;
      if (after >= config.revision) return [];
      const held = recent.filter((entry) => entry.revision > after);
      return held.length === config.revision - after ? held : undefined;
    },
  };
}
