/** What a router knows of an engine that has sent nothing of a stream yet. */
export interface SilentEngine {
  /** The engine or its failure domain is taken for lost, here or by another router. */
  readonly isDoubted: boolean;
  /** Time since this router received bytes from it; Infinity if it never did. */
  readonly receivedAgeMs: number;
  /** Streams that other routers have there. */
  readonly peersRunning: number;
  /** Time for which the stream has waited there. */
  readonly waitedMs: number;
  /** The stream's target for the time to its first event. */
  readonly targetMs: number;
}

/** Streams that run there send events several times in this time. */
const RECENT_MS = 700;
/** Some of the others' streams may wait for their first events too, so their number proves little for long. */
const PEERS_RUNNING_MIN = 2;

/**
 * Whether the engine is probably busy and not lost: this router gets events from it, or others have streams
 * there. Those of them that run would show its silence; if all of them wait, the target bounds the mistake.
 *
 * It answers crowds. Engines read prompts one after the other, so a stream that leaves one for another
 * busy engine loses its place there, and what was read of its prompt.
 */
export function isProbablyBusy(engine: SilentEngine): boolean {
  if (engine.isDoubted) return false;
  if (engine.receivedAgeMs <= RECENT_MS) return true;
  return engine.waitedMs <= engine.targetMs && engine.peersRunning >= PEERS_RUNNING_MIN;
}
