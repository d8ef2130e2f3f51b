import { initTRPC } from '@trpc/server';

/** What every procedure for peers receives. */
export interface PeerContext {
  /** Address of the calling host, for log lines. */
  readonly remoteAddress: string;
}

const trpc = initTRPC.context<PeerContext>().create();

/** Builds a sub-router; createPeerServer mounts it under a name. */
export const createPeerRouter = trpc.router;

/** Base of every procedure that peers call. */
export const peerProcedure = trpc.procedure;
