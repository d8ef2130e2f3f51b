/**
 * Bounds the part of a host's link that messages to the other routers take.
 *
 * It answers the loss of many servers at once in front of many routers: each host tells all others of
 * each server, in messages that grow with the number of losses. On a narrow link they would delay the
 * connections to the servers that are left, which then look lost too.
 */
export interface LinkPace {
  readonly onSent: (bytes: number, nowMs: number) => void;
  /** Time until the next message may be sent. */
  readonly delayMs: (nowMs: number) => number;
}

/** Part of the link for messages between routers; the rest carries the requests of callers. */
const MESSAGES_RATIO = 0.2;
/** Messages may use the whole link for this long before they are paced. */
const BURST_MS = 50;
/** Limits, retries and crashes must reach the others within half a second, whatever the link. */
const DELAY_MAX_MS = 250;
const BYTES_PER_MS_PER_MBPS = 125;

/** @param linkMbps Rate of the host's link; undefined if it is not known, so that nothing is paced. */
export function createLinkPace(linkMbps: number | undefined): LinkPace {
  if (linkMbps === undefined) return { onSent: () => undefined, delayMs: () => 0 };
  const linkBytesPerMs = linkMbps * BYTES_PER_MS_PER_MBPS;
  const bytesPerMs = linkBytesPerMs * MESSAGES_RATIO;
  /** When the bytes that were sent have taken no more than their part. */
  let paidUntilMs = -Infinity;

  return {
    onSent: (bytes, nowMs) => {
      paidUntilMs = Math.max(paidUntilMs, nowMs) + bytes / bytesPerMs;
    },
    delayMs: (nowMs) =>
      Math.min(DELAY_MAX_MS, Math.max(0, paidUntilMs - nowMs - BURST_MS / MESSAGES_RATIO)),
  };
}
