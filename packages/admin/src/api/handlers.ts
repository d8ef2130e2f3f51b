import { CONFIG_SECTIONS, diffConfigs, effectiveSettings, getOwnEntry } from '@mimosamill/core';
import { toPublicRevision } from '../config/admin';
import { summariseByRegion } from '../fleet/status';
import { adminError } from './errors';
import type { Clock } from '@mimosamill/adapters';
import type { Administrator, ConfigSection, FleetConfig, MoveId, Revision } from '@mimosamill/core';
import type { z } from 'zod';
import type { ChangeResult, ConfigAdmin } from '../config/admin';
import type { ReadRouterRevisions } from '../fleet/status';
import type { MoveAdmin, MoveOrder, StoredMove } from '../move/admin';
import type { AdminError } from './errors';
import type { ROUTES, RouteName } from './routes';

export interface HandlerDeps {
  readonly config: ConfigAdmin;
  readonly moves: MoveAdmin;
  readonly readRouterRevisions: ReadRouterRevisions;
  readonly clock: Clock;
}

type QueryOf<N extends RouteName> = z.infer<(typeof ROUTES)[N]['query']>;
type BodyOf<N extends RouteName> = (typeof ROUTES)[N] extends { readonly body: infer B }
  ? z.infer<B>
  : undefined;

/** An authenticated call whose query and body have been checked. */
export interface AdminCall<N extends RouteName> {
  readonly admin: Administrator;
  readonly config: FleetConfig;
  readonly params: Readonly<Record<string, string>>;
  readonly query: QueryOf<N>;
  readonly body: BodyOf<N>;
}

/** A result other than an error is sent unchanged as the JSON body. */
export type AdminAnswer = AdminError | object;

export type Handlers = {
  readonly [N in RouteName]: (call: AdminCall<N>) => AdminAnswer | Promise<AdminAnswer>;
};

const WATCH_POLL_INTERVAL_MS = 500;
/** Calls that wait at a time; each of them repeats a read. */
const MAX_WATCHERS = 32;

export function createHandlers(deps: HandlerDeps): Handlers {
  const { clock, config: configAdmin, readRouterRevisions, moves } = deps;
  let waitingCalls = 0;
  let lastWatchReadMs = -Infinity;

  /** Reads the store at most once per interval, however many calls wait for revisions. */
  async function readForWatchers(): Promise<FleetConfig | AdminError> {
    const known = configAdmin.current();
    const nowMs = clock.monotonicMs();
    if (known !== undefined && nowMs - lastWatchReadMs < WATCH_POLL_INTERVAL_MS) return known;
    lastWatchReadMs = nowMs;
    return configAdmin.refresh();
  }

  /** Repeats a read until `hasChanged` accepts the result or the waiting time is over. */
  async function pollUntil<T>(
    waitMs: number,
    read: () => Promise<T>,
    hasChanged: (value: T) => boolean,
  ): Promise<T | AdminError> {
    if (waitingCalls >= MAX_WATCHERS) {
      return adminError(
        'too_many_watchers',
        `${MAX_WATCHERS} calls are already waiting, which is the limit; try again later`,
      );
    }
    const untilMs = clock.monotonicMs() + waitMs;
    waitingCalls += 1;
    try {
      for (;;) {
        const value = await read();
        if (hasChanged(value) || clock.monotonicMs() >= untilMs) return value;
        await new Promise<void>((resolve) => {
          clock.runAfter(WATCH_POLL_INTERVAL_MS, resolve);
        });
      }
    } finally {
      waitingCalls -= 1;
    }
  }

  return {
    list: ({ config, params, query }) => {
      const section = toSection(params['section']);
      if (section === undefined) return unknownSection();
      const ids = Object.keys(config[section])
        .sort()
        .filter((id) => id > query.after);
      const page = ids.slice(0, query.limit);
      const entries: Readonly<Record<string, unknown>> = { ...config[section] };
      const items = page.map((id) => ({ id, value: getOwnEntry(entries, id) }));
      const next = page.length < ids.length ? (page.at(-1) ?? null) : null;
      return { revision: config.revision, items, next };
    },
    show: ({ config, params }) => {
      const section = toSection(params['section']);
      if (section === undefined) return unknownSection();
      const { id = '' } = params;
      const value = getOwnEntry<unknown>({ ...config[section] }, id);
      if (value === undefined) return adminError('not_found', `there is no ${id} in ${section}`);
      return { revision: config.revision, id, value };
    },
    effective: ({ config, query }) => {
      const place = Object.fromEntries(Object.entries(query).filter(([, value]) => value));
      return { revision: config.revision, place, settings: effectiveSettings(config, place) };
    },
    export: async ({ config, query }) =>
      query.revision === undefined ? config : configAdmin.configAt(query.revision as Revision),
    diff: async ({ config, query }) => {
      const before = await configAdmin.configAt(query.from as Revision);
      if ('kind' in before) return before;
      const to = (query.to ?? config.revision) as Revision;
      const after = await configAdmin.configAt(to);
      if ('kind' in after) return after;
      return { from: query.from, to, entries: diffConfigs(before, after) };
    },
    apply: async ({ admin, body }) =>
      toAnswer(await configAdmin.apply(admin, body as Parameters<ConfigAdmin['apply']>[1])),
    history: async ({ config, query }) => {
      const before = Math.min(query.before ?? Infinity, config.revision + 1);
      const first = Math.max(1, before - query.limit);
      const revisions = await configAdmin.revisionsAfter((first - 1) as Revision);
      if ('kind' in revisions) return revisions;
      const page = revisions.filter((entry) => entry.revision < before);
      return { items: page.map(toPublicRevision).reverse(), next: first > 1 ? first : null };
    },
    revision: async ({ params }) => {
      const number = Number(params['revision']);
      const revisions = await configAdmin.revisionsAfter((number - 1) as Revision);
      if ('kind' in revisions) return revisions;
      const [found] = revisions;
      if (found?.revision !== number) return adminError('not_found', `no revision ${number}`);
      return toPublicRevision(found);
    },
    undo: async ({ admin, params, body }) => {
      const revision = Number(params['revision']);
      const request = { ...body, revision } as Parameters<ConfigAdmin['undo']>[1];
      return toAnswer(await configAdmin.undo(admin, request));
    },
    watch: async ({ query }) => {
      const read = await pollUntil(
        query.waitMs,
        readForWatchers,
        (config) => 'kind' in config || config.revision > query.after,
      );
      if ('kind' in read) return read;
      if (read.revision <= query.after) return { revision: read.revision, revisions: [] };
      const revisions = await configAdmin.revisionsAfter(query.after as Revision);
      if ('kind' in revisions) return revisions;
      return { revision: read.revision, revisions: revisions.map(toPublicRevision) };
    },
    status: async ({ config, query }) => {
      const read = await readRouterRevisions();
      if (read.kind === 'unavailable') {
        return adminError(
          'router_unavailable',
          `the router on this host does not answer: ${read.message}`,
        );
      }
      const revision = (query.revision ?? config.revision) as Revision;
      const regions = summariseByRegion(read.nodes, revision);
      const isEverywhere = regions.every(({ inForce, nodes }) => inForce === nodes);
      return { revision, isEverywhere, regions };
    },
    moveOrder: async ({ admin, config, body }) =>
      toMoveAnswer(await moves.order(admin, config, body as MoveOrder)),
    moveList: async ({ query }) => {
      const page = await moves.list(query.after, query.limit);
      return page.kind === 'error' ? page : { items: page.moves, next: page.next };
    },
    moveShow: async ({ params, query }) => {
      const shown = await pollUntil(
        query.waitMs,
        () => moves.show(params['id'] as MoveId),
        (found) => found.kind === 'error' || found.rowVersion > query.seen,
      );
      return toMoveAnswer(shown);
    },
    moveCancel: async ({ admin, config, params, body }) =>
      toMoveAnswer(await moves.cancel(admin, config, params['id'] as MoveId, body.reason)),
  };
}

function toSection(text: string | undefined): ConfigSection | undefined {
  return CONFIG_SECTIONS.find((section) => section === text);
}

function unknownSection(): AdminError {
  return adminError('not_found', `unknown section; expected one of ${CONFIG_SECTIONS.join(', ')}`);
}

function toAnswer(result: ChangeResult): AdminAnswer {
  switch (result.kind) {
    case 'accepted':
      return { ...toPublicRevision(result.revision), wasLookedUp: result.wasLookedUp };
    case 'dry_run':
      return { dryRun: true, entries: result.diff };
    default:
      return result;
  }
}

function toMoveAnswer(shown: StoredMove | AdminError): AdminAnswer {
  return shown.kind === 'error' ? shown : { move: shown.move, rowVersion: shown.rowVersion };
}
