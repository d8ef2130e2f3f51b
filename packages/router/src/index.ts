// plain calls
export { createCalls } from './call/calls';
export type { CallRequest, Calls } from './call/calls';
export type { CallsPorts, OwnerClient, OwnerQuestion, ServerPicker } from './call/ports';

// version moves
export type { WithdrawalGossip } from './move/gossip';
export { evidenceSchema } from './move/message';
export type { EvidenceMessage, EvidenceReply } from './move/message';
export { createMovePeerRouter } from './move/peer';
export type { MovePeerRouter } from './move/peer';
export { createMoveWatch, FALSE_ALARM_RATIO, loadLevelOf } from './move/watch';
export type { MoveWatch, MoveWatchPorts, WatchedAttempt } from './move/watch';
