import { CHANGE_LIST_SCHEMA, CONFIG_SECTIONS } from '@mimosamill/core';
import * as z from 'zod';

/** Who may call a route: every role, every role but viewer, or the fleet role. */
export type Permission = 'read' | 'change' | 'fleet';

export interface RouteSpec {
  readonly name: string;
  readonly method: 'get' | 'post';
  readonly path: string;
  readonly summary: string;
  readonly permission: Permission;
  readonly query: z.ZodObject;
  readonly body?: z.ZodObject;
}

const MAX_PAGE_ENTRIES = 500;
const DEFAULT_PAGE_ENTRIES = 100;
export const MAX_WAIT_MS = 30_000;

const shortName = z
  .string()
  .regex(
    /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,59}$/,
    'expected 1 to 60 letters, digits, dots, underscores or hyphens, the first a letter or digit',
  );
const why = z.string().trim().min(1, 'expected a reason, got an empty text').max(500);
const operationId = shortName.describe(
  'Chosen by the caller; repeating the request with the same id has no further effect',
);
const revision = z.number().int().min(0);
const revisionText = z.coerce.number().int().min(0);
const limit = z.coerce.number().int().min(1).max(MAX_PAGE_ENTRIES).default(DEFAULT_PAGE_ENTRIES);
const waitMs = z.coerce.number().int().min(0).max(MAX_WAIT_MS).default(0);
const dryRun = z
  .boolean()
  .default(false)
  .describe('Check the changes and return the difference without applying them');
const optionalId = z.string().max(63).optional();

const NO_QUERY = z.object({});

export const ROUTES = {
  list: {
    name: 'list',
    method: 'get',
    path: '/v1/config/:section',
    summary: `List the entries of a section (${CONFIG_SECTIONS.join(', ')})`,
    permission: 'read',
    query: z.object({ after: z.string().default(''), limit }),
  },
  show: {
    name: 'show',
    method: 'get',
    path: '/v1/config/:section/:id',
    summary: 'Show one entry',
    permission: 'read',
    query: NO_QUERY,
  },
  effective: {
    name: 'effective',
    method: 'get',
    path: '/v1/effective',
    summary: 'Show the settings in effect for a service, customer and failure domain',
    permission: 'read',
    query: z.object({ service: optionalId, customer: optionalId, failureDomain: optionalId }),
  },
  export: {
    name: 'export',
    method: 'get',
    path: '/v1/export',
    summary: 'Return the whole configuration',
    permission: 'fleet',
    query: z.object({ revision: revisionText.optional() }),
  },
  diff: {
    name: 'diff',
    method: 'get',
    path: '/v1/diff',
    summary: 'Show what differs between two revisions',
    permission: 'read',
    query: z.object({ from: revisionText, to: revisionText.optional() }),
  },
  apply: {
    name: 'apply',
    method: 'post',
    path: '/v1/revisions',
    summary: 'Apply a list of changes as the next revision after the base revision',
    permission: 'change',
    query: NO_QUERY,
    body: z.object({
      operationId,
      baseRevision: revision.describe('The revision on which the changes are based'),
      why,
      dryRun,
      changes: z.array(z.unknown()).meta(CHANGE_LIST_SCHEMA),
    }),
  },
  history: {
    name: 'history',
    method: 'get',
    path: '/v1/revisions',
    summary: 'List revisions, newest first',
    permission: 'read',
    query: z.object({ before: revisionText.optional(), limit }),
  },
  revision: {
    name: 'revision',
    method: 'get',
    path: '/v1/revisions/:revision',
    summary: 'Show one revision',
    permission: 'read',
    query: NO_QUERY,
  },
  undo: {
    name: 'undo',
    method: 'post',
    path: '/v1/revisions/:revision/undo',
    summary: 'Undo a revision by a new revision that restores the replaced entries',
    permission: 'change',
    query: NO_QUERY,
    body: z.object({ operationId, why, dryRun }),
  },
  watch: {
    name: 'watch',
    method: 'get',
    path: '/v1/watch',
    summary: 'Wait for revisions after the given one, and return them',
    permission: 'read',
    query: z.object({ after: revisionText, waitMs }),
  },
  status: {
    name: 'status',
    method: 'get',
    path: '/v1/status',
    summary: 'Show, by region, how many routers have applied a revision',
    permission: 'read',
    query: z.object({ revision: revisionText.optional() }),
  },
  moveOrder: {
    name: 'moveOrder',
    method: 'post',
    path: '/v1/moves',
    summary: 'Order a version move of a service',
    permission: 'change',
    query: NO_QUERY,
    body: z.object({
      operationId,
      service: shortName,
      toVersion: shortName,
      byMs: z.number().int().min(0).describe('Deadline, in milliseconds since 1970-01-01 UTC'),
      reason: why,
    }),
  },
  moveList: {
    name: 'moveList',
    method: 'get',
    path: '/v1/moves',
    summary: 'List version moves',
    permission: 'read',
    query: z.object({ after: z.string().default(''), limit }),
  },
  moveShow: {
    name: 'moveShow',
    method: 'get',
    path: '/v1/moves/:id',
    summary: 'Show a version move, or wait until its row version exceeds the one seen before',
    permission: 'read',
    query: z.object({ seen: revisionText.default(0), waitMs }),
  },
  moveCancel: {
    name: 'moveCancel',
    method: 'post',
    path: '/v1/moves/:id/cancel',
    summary: 'Cancel a running version move',
    permission: 'change',
    query: NO_QUERY,
    body: z.object({ reason: why }),
  },
} as const satisfies Readonly<Record<string, RouteSpec>>;

export type RouteName = keyof typeof ROUTES;
