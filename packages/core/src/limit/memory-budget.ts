/**
 * Bounds the bytes that a process holds for callers and backend servers together. It answers crowds of callers
 * that send large bodies and stop short of their end, or that don't read their answers: each is inside its own
 * limits, and together they fill the memory of the host.
 */

/**
 * What bytes are held for. 'request': the body of a request, and what a running request needs beside it.
 * 'unsent': parts of answers that their callers have not read yet.
 */
export type HeldKind = 'request' | 'answer' | 'event' | 'unsent';

/** Bytes that one holder has in memory. */
export interface MemoryClaim {
  /**
   * States the size that the holder needs now. False if there is no room for it: the size stays as it was, and
   * the holder must give up. With `dueAtMs`, the claim may be revoked after that time in favour of others.
   */
  readonly resize: (sizeBytes: number, nowMs: number, dueAtMs?: number) => boolean;
  readonly release: () => void;
}

export interface MemoryBudget {
  /** `onRevoked` is called when the claim, which is released then, made room for another one. */
  readonly open: (kind: HeldKind, onRevoked?: () => void) => MemoryClaim;
  readonly heldBytes: (kind?: HeldKind) => number;
  readonly revokedCount: () => number;
  readonly maxBytes: number;
  /** The largest claim that is ever granted. */
  readonly claimMaxBytes: number;
}

interface Entry {
  readonly kind: HeldKind;
  readonly onRevoked: () => void;
  sizeBytes: number;
  dueAtMs: number;
}

/** Holders up to this size are small: a crowd of large ones must not keep them out. */
export const SMALL_CLAIM_BYTES = 65_536;
/** Part of the budget that only small holders get. */
const SMALL_RESERVE_RATIO = 0.25;
/** A caller that takes part in a crowd of others may be late by this much before it counts as slow. */
const PROGRESS_GRACE_MS = 1_000;
/** A tenth of the slowest link of a host (10 Mbit/s): slower callers give way when others need the room. */
const PROGRESS_MIN_BYTES_PER_MS = 125;

/**
 * Time by which a transfer must go on, else its claim may be revoked: it stands still for as long as the grace
 * time, or is slow altogether. The first answers callers that stop a byte short of the end.
 */
export function progressDueAtMs(startedAtMs: number, bytes: number, lastAtMs: number): number {
  const slowAtMs = startedAtMs + PROGRESS_GRACE_MS + bytes / PROGRESS_MIN_BYTES_PER_MS;
  return Math.min(slowAtMs, lastAtMs + PROGRESS_GRACE_MS);
}

/** `onFreed` is called with the size of each larger claim that ends: its memory still has to be collected. */
export function createMemoryBudget(
  maxBytes: number,
  onFreed: (bytes: number) => void = () => undefined,
): MemoryBudget {
  const largeMaxBytes = maxBytes * (1 - SMALL_RESERVE_RATIO);
  const entries = new Set<Entry>();
  const heldByKind: Record<HeldKind, number> = { request: 0, answer: 0, event: 0, unsent: 0 };
  let totalBytes = 0;
  let revokedCount = 0;

  function set(entry: Entry, sizeBytes: number): void {
    totalBytes += sizeBytes - entry.sizeBytes;
    heldByKind[entry.kind] += sizeBytes - entry.sizeBytes;
    if (sizeBytes === 0 && entry.sizeBytes > SMALL_CLAIM_BYTES) onFreed(entry.sizeBytes);
    entry.sizeBytes = sizeBytes;
    if (sizeBytes > 0) entries.add(entry);
    else entries.delete(entry);
  }

  /** Revokes the most overdue claims until there is room, or none if that would not make enough. */
  function makeRoom(asking: Entry, neededBytes: number, nowMs: number): boolean {
    const overdue = [...entries].filter((entry) => entry !== asking && entry.dueAtMs < nowMs);
    const freeableBytes = overdue.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
    if (freeableBytes < neededBytes) return false;
    overdue.sort((a, b) => a.dueAtMs - b.dueAtMs);
    let missingBytes = neededBytes;
    for (const entry of overdue) {
      if (missingBytes <= 0) break;
      missingBytes -= entry.sizeBytes;
      set(entry, 0);
      revokedCount += 1;
      entry.onRevoked();
    }
    return true;
  }

  function open(kind: HeldKind, onRevoked: () => void = () => undefined): MemoryClaim {
    const entry: Entry = { kind, onRevoked, sizeBytes: 0, dueAtMs: Infinity };
    return {
      resize: (sizeBytes, nowMs, dueAtMs = Infinity) => {
        const limitBytes = sizeBytes <= SMALL_CLAIM_BYTES ? maxBytes : largeMaxBytes;
        const excessBytes = totalBytes + sizeBytes - entry.sizeBytes - limitBytes;
        const isGrowing = sizeBytes > entry.sizeBytes;
        if (isGrowing && excessBytes > 0 && !makeRoom(entry, excessBytes, nowMs)) return false;
        entry.dueAtMs = dueAtMs;
        set(entry, sizeBytes);
        return true;
      },
      release: () => set(entry, 0),
    };
  }

  return {
    open,
    heldBytes: (kind) => (kind === undefined ? totalBytes : heldByKind[kind]),
    revokedCount: () => revokedCount,
    maxBytes,
    claimMaxBytes: largeMaxBytes,
  };
}
