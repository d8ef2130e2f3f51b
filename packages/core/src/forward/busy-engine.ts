/** What a router knows of an engine that has sent nothing of a stream yet. */
export interface SilentEngine {
  /** The engine or its failure domain is taken for lost, here or by another router. */
  readonly isDoubted: boolean;
  /** Time since this router received bytes from it; Infinity if it never did. */
  readonly receivedAgeMs: number;
  /** Streams that other routers have there. */
  readonly peersRunning: number;
}

/** Streams that run there send events several times in this time. */
const RECENT_MS = 700;
/** One of the others' streams may wait for its first event too. */
const PEERS_RUNNING_MIN = 2;

/**
 * Whether the engine is probably busy and not lost, since this router or others get events from it: they
 * would have told of its silence.
 *
 * It answers crowds. Engines read prompts one after the other, so a stream that leaves one for another
 * busy engine loses its place there, and what was read of its prompt; with all engines busy, a tenth of
 * all prompts was read for nothing.
 */
export function isProbablyBusy(engine: SilentEngine): boolean {
  if (engine.isDoubted) return false;
  return engine.receivedAgeMs <= RECENT_MS || engine.peersRunning >= PEERS_RUNNING_MIN;
}
