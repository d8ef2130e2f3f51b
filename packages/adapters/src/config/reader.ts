import { EMPTY_CONFIG, applyChanges } from '@mimosamill/core';
import {
  CONFIG_HEAD_KEY,
  REVISION_KEY_PREFIX,
  revisionKey,
  snapshotName,
  toHead,
  toRevision,
} from './rows';
import type { ConfigRevision, FleetConfig, Revision } from '@mimosamill/core';
import type { ObjectStore } from '../platform/object-store';
import type { TableStore } from '../platform/table-store';
import type { ConfigHead } from './rows';

export interface StoreUnavailable {
  readonly kind: 'unavailable';
  readonly message: string;
}

export type ConfigHeadOutcome =
  { readonly kind: 'ok'; readonly head: ConfigHead } | StoreUnavailable;

export type RevisionsOutcome =
  { readonly kind: 'ok'; readonly revisions: readonly ConfigRevision[] } | StoreUnavailable;

export type ConfigOutcome =
  { readonly kind: 'ok'; readonly config: FleetConfig } | StoreUnavailable;

/** Read access to the stored configuration. */
export interface ConfigReader {
  readonly readHead: () => Promise<ConfigHeadOutcome>;
  /** The revisions that follow the given one, in order and at most one page of them. */
  readonly readRevisionsAfter: (after: Revision) => Promise<RevisionsOutcome>;
  /** The whole configuration, at least as new as the head row was when the call began. */
  readonly readConfig: () => Promise<ConfigOutcome>;
  /** The configuration as of an earlier revision. */
  readonly readConfigAt: (revision: Revision) => Promise<ConfigOutcome>;
}

const REVISIONS_PER_PAGE = 200;

/** Reads revisions from the table service and snapshots from the object store. */
export function createConfigReader(tables: TableStore, objects: ObjectStore): ConfigReader {
  async function readHead(): Promise<ConfigHeadOutcome> {
    const outcome = await tables.read([CONFIG_HEAD_KEY]);
    if (outcome.kind === 'unavailable') return outcome;
    return { kind: 'ok', head: toHead(outcome.rows[0]) };
  }

  async function readRevisionsAfter(after: Revision): Promise<RevisionsOutcome> {
    const outcome = await tables.scan(REVISION_KEY_PREFIX, revisionKey(after), REVISIONS_PER_PAGE);
    if (outcome.kind === 'unavailable') return outcome;
    return { kind: 'ok', revisions: outcome.rows.map(toRevision) };
  }

  async function readSnapshot(revision: Revision): Promise<ConfigOutcome> {
    if (revision === 0) return { kind: 'ok', config: EMPTY_CONFIG };
    const outcome = await objects.get(snapshotName(revision));
    switch (outcome.kind) {
      case 'ok':
        return { kind: 'ok', config: parseSnapshot(outcome.body) ?? EMPTY_CONFIG };
      case 'absent':
        // Revisions are never deleted, so the configuration can be rebuilt from the first one.
        return { kind: 'ok', config: EMPTY_CONFIG };
      default:
        return outcome;
    }
  }

  /** Applies the stored revisions after `start` up to and including `upTo`. */
  async function applyRevisions(start: FleetConfig, upTo: Revision): Promise<ConfigOutcome> {
    let config = start;
    while (config.revision < upTo) {
      const page = await readRevisionsAfter(config.revision);
      if (page.kind === 'unavailable') return page;
      const usable = page.revisions.filter(({ revision }) => revision <= upTo);
      const next = usable.reduce(applyIfNext, config);
      if (next === config) {
        return {
          kind: 'unavailable',
          message: `row of revision ${config.revision + 1} is missing`,
        };
      }
      config = next;
    }
    return { kind: 'ok', config };
  }

  async function readConfigAt(revision: Revision): Promise<ConfigOutcome> {
    const outcome = await readHead();
    if (outcome.kind === 'unavailable') return outcome;
    const { head } = outcome;
    const from = head.snapshotRevision <= revision ? head.snapshotRevision : EMPTY_CONFIG.revision;
    const start = await readSnapshot(from);
    return start.kind === 'ok' ? applyRevisions(start.config, revision) : start;
  }

  return {
    readHead,
    readRevisionsAfter,
    readConfig: async () => {
      // The head row is read first because it names the newest snapshot. A revision that is
      // committed later is higher, so the next poll finds it at the latest. If a snapshot were
      // read first, the revisions between it and the head would have to be searched for.
      const outcome = await readHead();
      if (outcome.kind === 'unavailable') return outcome;
      const start = await readSnapshot(outcome.head.snapshotRevision);
      return start.kind === 'ok' ? applyRevisions(start.config, outcome.head.revision) : start;
    },
    readConfigAt,
  };
}

function applyIfNext(config: FleetConfig, entry: ConfigRevision): FleetConfig {
  return entry.revision === config.revision + 1 ? applyChanges(config, entry.changes) : config;
}

/** Returns undefined for a body that is truncated or is not a configuration. */
function parseSnapshot(body: string): FleetConfig | undefined {
  try {
    const value = JSON.parse(body) as Partial<FleetConfig> | null;
    const { revision, defaults, services, customers, teams, exceptions } = value ?? {};
    const parts = [defaults, services, customers, teams, exceptions];
    const isComplete =
      typeof revision === 'number' && parts.every((part) => typeof part === 'object');
    return isComplete ? (value as FleetConfig) : undefined;
  } catch {
    return undefined;
  }
}
