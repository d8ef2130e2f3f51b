import type { MemoryBudget } from '../limit/memory-budget';

/** Bytes that one response holds in memory. */
export interface ResponseBuffer {
  /** Notes what the response holds now; false if that is too much, and the response must be given up. */
  readonly hold: (sizeBytes: number) => boolean;
  readonly release: () => void;
}

/**
 * 'answer': the whole answer of a plain server. 'event': what has arrived of an engine's event, or the
 * body of its error.
 */
export type BufferedKind = 'answer' | 'event';

/** Limits the bytes that all responses of a router hold together: whole answers, and unfinished events. */
export interface ResponseBuffers {
  readonly open: (kind: BufferedKind) => ResponseBuffer;
  readonly heldBytes: () => number;
}

/**
 * Held bytes of all responses beyond which one of a kind is given up; keeps servers that send without end
 * within the memory of a host. An event has some hundred bytes, so a long one is given up sooner.
 */
const HELD_MAX_BYTES: Readonly<Record<BufferedKind, number>> = {
  answer: 50_331_648,
  event: 8_388_608,
};
/** A response may always hold this much, so that the endless ones are given up and not the small. */
const SMALL_RESPONSE_BYTES = 65_536;

/** The bytes also count toward the budget that responses share with requests. */
export function createResponseBuffers(
  budget: MemoryBudget,
  monotonicMs: () => number,
): ResponseBuffers {
  const heldBytes = (): number => budget.heldBytes('answer') + budget.heldBytes('event');

  function open(kind: BufferedKind): ResponseBuffer {
    const claim = budget.open(kind);
    return {
      hold: (sizeBytes) => {
        const isGranted = claim.resize(sizeBytes, monotonicMs());
        if (sizeBytes <= SMALL_RESPONSE_BYTES) return true;
        return isGranted && heldBytes() <= HELD_MAX_BYTES[kind];
      },
      release: claim.release,
    };
  }

  return { open, heldBytes };
}
