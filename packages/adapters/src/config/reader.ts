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

/** Read side of the stored configuration. */
export interface ConfigReader {
  readonly readHead: () => Promise<ConfigHeadOutcome>;
  /** At most one page of revisions after the given one, in order. */
  readonly readRevisionsAfter: (after: Revision) => Promise<RevisionsOutcome>;
  /** The whole configuration, at or after the head that was current when the call began. */
  readonly readConfig: () => Promise<ConfigOutcome>;
  /** The configuration as it was at a revision. */
  readonly readConfigAt: (revision: Revision) => Promise<ConfigOutcome>;
}

const REVISIONS_PER_PAGE = 200;

/** Reads the configuration from the tables and the object store. */
export function createConfigReader(tables: TableStore, objects: ObjectStore): ConfigReader {
  async function readHead(): Promise<ConfigHeadOutcome> {
    const answer = await tables.read([CONFIG_HEAD_KEY]);
    if (answer.kind === 'unavailable') return answer;
    return { kind: 'ok', head: toHead(answer.rows[0]) };
  }

  async function readRevisionsAfter(after: Revision): Promise<RevisionsOutcome> {
    const answer = await tables.scan(REVISION_KEY_PREFIX, revisionKey(after), REVISIONS_PER_PAGE);
    if (answer.kind === 'unavailable') return answer;
    return { kind: 'ok', revisions: answer.rows.map(toRevision) };
  }

  async function readSnapshot(revision: Revision): Promise<ConfigOutcome> {
    if (revision === 0) return { kind: 'ok', config: EMPTY_CONFIG };
    const answer = await objects.get(snapshotName(revision));
    switch (answer.kind) {
      case 'ok':
        return { kind: 'ok', config: parseSnapshot(answer.body) ?? EMPTY_CONFIG };
      case 'absent':
        // Every revision is kept, so that all of them can be applied instead.
        return { kind: 'ok', config: EMPTY_CONFIG };
      default:
        return answer;
    }
  }

  /** Applies stored revisions up to `to`. */
  async function follow(start: FleetConfig, to: Revision): Promise<ConfigOutcome> {
    let config = start;
    while (config.revision < to) {
      const tail = await readRevisionsAfter(config.revision);
      if (tail.kind === 'unavailable') return tail;
      const usable = tail.revisions.filter(({ revision }) => revision <= to);
      const next = usable.reduce(applyIfNext, config);
      if (next === config) {
        return { kind: 'unavailable', message: `revision ${config.revision + 1} is missing` };
      }
      config = next;
    }
    return { kind: 'ok', config };
  }

  async function readConfigAt(revision: Revision): Promise<ConfigOutcome> {
    const answer = await readHead();
    if (answer.kind === 'unavailable') return answer;
    const { head } = answer;
    const from = head.snapshotRevision <= revision ? head.snapshotRevision : EMPTY_CONFIG.revision;
    const start = await readSnapshot(from);
    return start.kind === 'ok' ? follow(start.config, revision) : start;
  }

  return {
    readHead,
    readRevisionsAfter,
    readConfig: async () => {
      // The head is read first: whatever is committed later is above it, and so is found either
      // in the tail or by the next poll. In the other order, revisions between the snapshot and
      // the head would have to be looked for.
      const answer = await readHead();
      if (answer.kind === 'unavailable') return answer;
      const start = await readSnapshot(answer.head.snapshotRevision);
      return start.kind === 'ok' ? follow(start.config, answer.head.revision) : start;
    },
    readConfigAt,
  };
}

function applyIfNext(config: FleetConfig, entry: ConfigRevision): FleetConfig {
  return entry.revision === config.revision + 1 ? applyChanges(config, entry.changes) : config;
}

/** Undefined for a body that was cut off or is something else. */
function parseSnapshot(body: string): FleetConfig | undefined {
  try {
    const value = JSON.parse(body) as Partial<FleetConfig> | null;
    const { revision, defaults, services, customers, teams, exceptions } = value ?? {};
    const parts = [defaults, services, customers, teams, exceptions];
    const isWhole = typeof revision === 'number' && parts.every((part) => typeof part === 'object');
    return isWhole ? (value as FleetConfig) : undefined;
  } catch {
    return undefined;
  }
}
