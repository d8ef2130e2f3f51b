// administration API
export { createAdminServer } from './api/server';
export type { AdminServerDeps } from './api/server';
export { createOpenApi } from './api/openapi';
export type { AdminError, AdminErrorCode } from './api/errors';
export { createConfigAdmin } from './config/admin';
export type { ApplyRequest, ChangeResult, ConfigAdmin, UndoRequest } from './config/admin';
export { createFirstAdministrator } from './config/first-administrator';
export type { FirstAdministrator, FirstAdministratorOutcome } from './config/first-administrator';
export { createMoveAdmin } from './move/admin';
export type {
  MoveAdmin,
  MoveFeasibilityCheck,
  MoveOrder,
  MovePage,
  StoredMove,
} from './move/admin';
export { createFeasibilityCheck } from './move/feasibility';
export { summariseByRegion } from './fleet/status';
export type { ReadRouterRevisions, RouterRevision, RegionStatus } from './fleet/status';
export { createRevisionAnnouncer, createRouterRevisionReader } from './fleet/router-revisions';

// mimosactl
export { createAdminClient } from './cli/client';
export type { AdminClient, ClientAnswer, ClientOptions } from './cli/client';
export { explainFiles } from './cli/explain';
export type { ExplainOutput } from './cli/explain';
export { createCommands } from './cli/commands';
export type { CommandContext, CommandOptions } from './cli/commands';
