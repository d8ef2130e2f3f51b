// plain calls
export { createCalls } from './call/calls';
export type { CallRequest, Calls } from './call/calls';
export type { CallsPorts, OwnerClient, OwnerQuestion, ServerPicker } from './call/ports';
export { createCallRouter, createOwnerClient } from './call/peer';
export type { AskPeer, CallRouter } from './call/peer';
