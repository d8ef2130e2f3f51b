/** The value of the row `leases/DUTY`. */
export interface LeaseRow {
  readonly holder: string;
  /** Rises by one with every change of holder. */
  readonly fencingNumber: number;
  readonly termMs: number;
  /** Tells a writer whether its own write took effect. */
  readonly nonce: string;
  readonly state: 'held' | 'released';
}

export interface LeaseSettings {
  /** Unique to the process, not to the host: a restarted process is another holder. */
  readonly holder: string;
  readonly termMs: number;
  /** Clocks may run apart by this part of a term. */
  readonly maxClockDriftRatio: number;
}

export type LeaseAction =
  | { readonly kind: 'read' }
  /** Conditional on the row's version, or on its absence when `ifVersion` is undefined. */
  | { readonly kind: 'write'; readonly row: LeaseRow; readonly ifVersion: number | undefined };

export type LeaseWriteOutcome = 'ok' | 'conflict' | 'unavailable' | 'unknown';

/** One process's view of a lease. All times are of its monotonic clock. */
export interface Lease {
  /** The table operation to start now; there is one in flight at most. */
  readonly next: (nowMs: number) => LeaseAction | undefined;
  /** Answers a 'read'; `version` is the row's version in the tables. */
  readonly onRead: (row: LeaseRow | undefined, version: number, nowMs: number) => void;
  readonly onReadFailed: (nowMs: number) => void;
  readonly onWritten: (outcome: LeaseWriteOutcome, nowMs: number) => void;
  /** Zero when the lease is not held. */
  readonly remainingMs: (nowMs: number) => number;
  /** Zero when the lease was never held. */
  readonly fencingNumber: () => number;
  /** When the current holding began; an earlier holder's last order may still be in flight. */
  readonly heldSinceMs: () => number | undefined;
  /** Whether the previous holder released the lease, after its last order was answered. */
  readonly wasHandedOver: () => boolean;
  /** Stops acquiring and renewing; `next` then releases a lease that is held. */
  readonly stop: () => void;
}

interface ObservedRow {
  readonly row: LeaseRow;
  readonly version: number;
  /** When this version was first read: its holder's term ends one term later at most. */
  readonly firstSeenMs: number;
}

interface CurrentHold {
  readonly fencingNumber: number;
  readonly sinceMs: number;
  readonly untilMs: number;
  readonly wasHandedOver: boolean;
}

interface SentWrite {
  readonly row: LeaseRow;
  readonly sentAtMs: number;
  readonly wasHandedOver: boolean;
}

const POLL_INTERVAL_RATIO = 0.25;
const RETRY_DELAY_RATIO = 0.1;
/** Renews after a third of the term, so that two failed renewals still leave time. */
const RENEW_AFTER_RATIO = 0.33;
/** Unanswered writes that may still take effect and are recognised when they do. */
const MAX_REMEMBERED_WRITES = 8;

/** Creates the view of a process that does not hold the lease. */
export function createLease(settings: LeaseSettings): Lease {
  const { holder, termMs } = settings;
  let observed: ObservedRow | undefined;
  let held: CurrentHold | undefined;
  let sentWrites: SentWrite[] = [];
  let mustRead = true;
  let isRequestInFlight = false;
  let isStopped = false;
  let nextRequestMs = 0;
  let writeCount = 0;
  let lastFencingNumber = 0;

  function remainingMs(nowMs: number): number {
    return held === undefined ? 0 : Math.max(0, held.untilMs - nowMs);
  }

  function write(fencingNumber: number, state: LeaseRow['state'], nowMs: number): LeaseAction {
    writeCount += 1;
    isRequestInFlight = true;
    const row = { holder, fencingNumber, termMs, nonce: `${holder}#${writeCount}`, state };
    const wasHandedOver = observed === undefined || observed.row.state === 'released';
    sentWrites = [...sentWrites, { row, sentAtMs: nowMs, wasHandedOver }].slice(
      -MAX_REMEMBERED_WRITES,
    );
    return { kind: 'write', row, ifVersion: observed?.version };
  }

  function isFree(nowMs: number): boolean {
    if (observed === undefined || observed.row.state === 'released') return true;
    if (observed.row.holder === holder) return true;
    return nowMs >= observed.firstSeenMs + observed.row.termMs * (1 + settings.maxClockDriftRatio);
  }

  /** The term counts from before the write was sent, so others never grant it a shorter one. */
  function apply(grant: SentWrite, nowMs: number): void {
    const { fencingNumber, state } = grant.row;
    lastFencingNumber = fencingNumber;
    if (state === 'released') {
      held = undefined;
      return;
    }
    const untilMs = grant.sentAtMs + termMs;
    const isRenewal = held?.fencingNumber === fencingNumber;
    const sinceMs = isRenewal && held !== undefined ? held.sinceMs : nowMs;
    held = { fencingNumber, sinceMs, untilMs, wasHandedOver: grant.wasHandedOver };
  }

  function dropIfExpired(nowMs: number): void {
    if (held === undefined || remainingMs(nowMs) > 0) return;
    held = undefined;
    mustRead = true;
  }

  function holdOrRelease(current: CurrentHold, nowMs: number): LeaseAction | undefined {
    if (isStopped) return write(current.fencingNumber, 'released', nowMs);
    const isDue = remainingMs(nowMs) <= termMs * (1 - RENEW_AFTER_RATIO);
    return isDue ? write(current.fencingNumber, 'held', nowMs) : undefined;
  }

  return {
    next: (nowMs) => {
      dropIfExpired(nowMs);
      if (isRequestInFlight || nowMs < nextRequestMs) return undefined;
      if (isStopped && held === undefined) return undefined;
      if (mustRead) {
        isRequestInFlight = true;
        return { kind: 'read' };
      }
      if (held !== undefined) return holdOrRelease(held, nowMs);
      if (isFree(nowMs)) return write((observed?.row.fencingNumber ?? 0) + 1, 'held', nowMs);
      isRequestInFlight = true;
      return { kind: 'read' };
    },
    onRead: (row, version, nowMs) => {
      isRequestInFlight = false;
      mustRead = false;
      const own = sentWrites.find((each) => each.row.nonce === row?.nonce);
      if (own !== undefined) apply(own, nowMs);
      else held = undefined;
      if (row === undefined) observed = undefined;
      else if (observed?.version !== version) observed = { row, version, firstSeenMs: nowMs };
      if (remainingMs(nowMs) === 0) held = undefined;
      if (held === undefined && !isFree(nowMs))
        nextRequestMs = nowMs + termMs * POLL_INTERVAL_RATIO;
    },
    onReadFailed: (nowMs) => {
      isRequestInFlight = false;
      nextRequestMs = nowMs + termMs * RETRY_DELAY_RATIO;
    },
    onWritten: (outcome, nowMs) => {
      isRequestInFlight = false;
      mustRead = true;
      const last = sentWrites.at(-1);
      if (outcome === 'ok' && last !== undefined) apply(last, nowMs);
      if (outcome === 'unavailable') {
        sentWrites = sentWrites.slice(0, -1);
        nextRequestMs = nowMs + termMs * RETRY_DELAY_RATIO;
      }
    },
    remainingMs,
    fencingNumber: () => lastFencingNumber,
    heldSinceMs: () => held?.sinceMs,
    wasHandedOver: () => held?.wasHandedOver ?? false,
    stop: () => {
      isStopped = true;
    },
  };
}
