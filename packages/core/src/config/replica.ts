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
  /** Revisions after `afterRevision` are missing and have to be pulled. */
  | { readonly kind: 'gap'; readonly afterRevision: Revision; readonly upToRevision: Revision }
  /** A newer release wrote a change that this one cannot apply; the replica stays where it is. */
  | { readonly kind: 'unsupported'; readonly revision: Revision };

/** A copy of the configuration that moves forward one revision at a time. */
export interface ConfigReplica {
  readonly current: () => FleetConfig | undefined;
  /** 0 while there is no configuration. */
  readonly revision: () => Revision;
  /** Highest revision heard of from anyone. */
  readonly highestKnownRevision: () => Revision;
  readonly noteRevision: (revision: Revision) => ConfigReplicaEffect[];
  /** Takes a whole configuration if it is newer than the current one. */
  readonly installSnapshot: (config: FleetConfig) => ConfigReplicaEffect[];
  readonly applyRevisions: (revisions: readonly ConfigRevision[]) => ConfigReplicaEffect[];
  /** Recent revisions after the given one; undefined if some of them are no longer held. */
  readonly revisionsAfter: (revision: Revision) => readonly ConfigRevision[] | undefined;
}

/** Creates an empty replica that keeps the last `tailLength` revisions for its peers. */
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
