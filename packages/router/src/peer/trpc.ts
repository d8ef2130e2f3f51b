import { initTRPC } from '@trpc/server';

/** Context that every procedure for peers receives. */
export interface PeerContext {
  /** Address of the calling host, for log lines. */
  readonly remoteAddress: string;
}

const trpc = initTRPC.context<PeerContext>().create();

/** Creates a sub-router, which createPeerServer makes available under a name. */
export const createPeerRouter = trpc.router;

/** Builder of the procedures that peers call. */
export const peerProcedure = trpc.procedure;
