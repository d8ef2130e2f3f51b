// administration API
export { createAdminServer } from './api/server';
export type { AdminServerDeps } from './api/server';
export { createOpenApi } from './api/openapi';
export type { AdminError, AdminErrorCode } from './api/errors';
export { createConfigAdmin } from './config/admin';
export type { ApplyRequest, ChangeResult, ConfigAdmin, UndoRequest } from './config/admin';
export { createFirstAdministrator } from './config/first';
export type { FirstAdministrator, FirstOutcome } from './config/first';
export { createMoveAdmin } from './move/admin';
export type { MoveAdmin, MoveFeasibility, MoveOrder, MovePage, ShownMove } from './move/admin';
export { createFeasibility } from './move/feasibility';
export { summarise } from './fleet/status';
export type { FleetView, NodeRevision, RegionStatus } from './fleet/status';
export { createAnnouncer, createFleetView } from './fleet/view';

// mimosactl
export { createAdminClient } from './cli/client';
export type { AdminClient, ClientAnswer, ClientOptions } from './cli/client';
export { explainFiles } from './cli/explain';
export type { ExplainOutput } from './cli/explain';
export { createCommands } from './cli/commands';
export type { CommandContext, CommandOptions } from './cli/commands';
