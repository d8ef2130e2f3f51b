import { asId, CONDEMNED_MS, createCrashSuspects } from '@mimosamill/core';
import type { Clock, DecisionLog, Upstream } from '@mimosamill/adapters';
import type {
  Condemnation,
  FailureDomain,
  ServerCrash,
  PromptPartId,
  RequestId,
  ServerId,
} from '@mimosamill/core';

/** Condemned parts in the store, where they outlive all routers; times are on the wall clock. */
export interface CondemnedTable {
  /** Undefined if the store could not be read. */
  readonly list: () => Promise<readonly StoredCondemnation[] | undefined>;
  /** False if the row may not have been written. */
  readonly put: (stored: StoredCondemnation) => Promise<boolean>;
  readonly remove: (part: PromptPartId) => Promise<void>;
}

export interface StoredCondemnation {
  readonly part: PromptPartId;
  readonly condemnedAtWallMs: number;
}

/** An attempt whose connection broke before its engine had sent an event of the stream. */
export interface BrokenAttempt {
  readonly requestId: RequestId;
  readonly engineId: ServerId;
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly parts: readonly PromptPartId[];
}

/** What a router tells the others; items are repeated, and applying one again has no effect. */
export interface CrashReports {
  readonly crashes: readonly ServerCrash[];
  /** Parts that were suspected until an engine began to answer a request with them. */
  readonly cleared: readonly { readonly part: PromptPartId; readonly atMs: number }[];
  readonly condemned: readonly Condemnation[];
}

/** Keeps requests whose prompts crash engines away from the engines, together with the other routers. */
export interface CrashGuard {
  readonly start: () => void;
  readonly onBrokenAttempt: (loss: BrokenAttempt) => void;
  readonly onBegun: (parts: readonly PromptPartId[]) => void;
  readonly findCondemned: (parts: readonly PromptPartId[]) => PromptPartId | undefined;
  readonly ownReports: (nowMs: number) => CrashReports;
  readonly onPeerReports: (reports: CrashReports) => void;
  readonly stop: () => void;
}

export interface CrashGuardPorts {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly upstream: Pick<Upstream, 'isAccepting'>;
  readonly table: CondemnedTable;
  /** Whether this router writes the rows of a matter on behalf of all. */
  readonly isElected: (matter: string) => boolean;
  /** Sends this router's reports to the others after a short batch delay. */
  readonly broadcastSoon: () => void;
  readonly onCondemned: () => void;
  readonly hash64: (text: string) => string;
}

/** Reports are repeated for this time, since a datagram may be lost. */
const REPORT_REPEAT_MS = 1_500;
/** Keeps a message within one datagram when many engines crash together. */
const REPORTED_CRASHES_MAX = 40;
const STORE_STEP_PERIOD_MS = 1_000;

export function createCrashGuard(ports: CrashGuardPorts): CrashGuard {
  const { clock, decisions } = ports;
  const suspects = createCrashSuspects();
  const probes = new Map<string, Promise<boolean>>();
  const stored = new Set<PromptPartId>();
  let crashes: ServerCrash[] = [];
  let cleared: { readonly part: PromptPartId; readonly atMs: number }[] = [];
  let isLoaded = false;
  let isStepping = false;
  let cancelSteps = (): void => undefined;

  /** A key for all parts together; hashed, since it is a key in the store too. */
  function combine(parts: readonly PromptPartId[]): PromptPartId {
    const [first] = parts;
    return parts.length === 1 && first !== undefined ? first : asId(ports.hash64(parts.join()));
  }

  function withCombination(parts: readonly PromptPartId[]): readonly PromptPartId[] {
    return parts.length > 1 ? [...parts, combine(parts)] : parts;
  }

  /** Whether the engine still takes connections; attempts that broke together share one probe. */
  function probe(address: string): Promise<boolean> {
    const running = probes.get(address);
    if (running !== undefined) return running;
    const started = ports.upstream.isAccepting(address).finally(() => probes.delete(address));
    probes.set(address, started);
    return started;
  }

  async function onBrokenAttempt(loss: BrokenAttempt): Promise<void> {
    const atMs = clock.monotonicMs();
    if (loss.parts.length === 0 || (await probe(loss.address))) return;
    const { requestId, engineId, failureDomain, parts } = loss;
    const combination = combine(parts);
    const crash: ServerCrash = { requestId, engineId, failureDomain, parts, combination, atMs };
    decisions.notable('engine.crashed', {
      request: requestId,
      engine: engineId,
      domain: failureDomain,
      parts,
    });
    crashes.push(crash);
    applyCrash(crash);
    ports.broadcastSoon();
  }

  function applyCrash(crash: ServerCrash): void {
    suspects.onCrash(crash).forEach((part) => announce(part, 'crashes', crash.requestId));
  }

  function announce(part: PromptPartId, source: string, requestId?: RequestId): void {
    decisions.vital('prompt_part.condemned', {
      part,
      source,
      request: requestId,
      for_ms: CONDEMNED_MS,
    });
    ports.broadcastSoon();
    ports.onCondemned();
  }

  function onBegun(parts: readonly PromptPartId[]): void {
    const atMs = clock.monotonicMs();
    const clearedParts = suspects.onBegun(withCombination(parts), atMs);
    if (clearedParts.length === 0) return;
    clearedParts.forEach((part) => {
      cleared.push({ part, atMs });
      decisions.notable('prompt_part.cleared', { part });
    });
    ports.broadcastSoon();
  }

  function onPeerReports(reports: CrashReports): void {
    reports.cleared.forEach(({ part, atMs }) => suspects.onBegun([part], atMs));
    reports.crashes.forEach(applyCrash);
    reports.condemned.forEach((condemned) => adopt(condemned, 'peer'));
  }

  function adopt(condemned: Condemnation, source: string): void {
    if (suspects.condemn(condemned, clock.monotonicMs())) announce(condemned.part, source);
  }

  /** Reads the store once after the start, then keeps the rows in step with the condemned parts. */
  async function stepStore(): Promise<void> {
    if (isStepping) return;
    isStepping = true;
    if (isLoaded) await writeRows();
    else await load();
    isStepping = false;
  }

  async function load(): Promise<void> {
    const rows = await ports.table.list();
    if (rows === undefined) return;
    isLoaded = true;
    rows.forEach(({ part, condemnedAtWallMs }) => {
      stored.add(part);
      const ageMs = Math.max(0, clock.nowMs() - condemnedAtWallMs);
      adopt({ part, condemnedAtMs: clock.monotonicMs() - ageMs }, 'store');
    });
  }

  async function writeRows(): Promise<void> {
    const nowMs = clock.monotonicMs();
    const current = suspects.condemned(nowMs);
    const parts = new Set(current.map(({ part }) => part));
    for (const { part, condemnedAtMs } of current) {
      if (!stored.has(part) && ports.isElected(part)) {
        const condemnedAtWallMs = clock.nowMs() - (nowMs - condemnedAtMs);
        if (await ports.table.put({ part, condemnedAtWallMs })) stored.add(part);
      }
    }
    for (const part of stored) {
      if (!parts.has(part)) {
        stored.delete(part);
        if (ports.isElected(part)) await ports.table.remove(part);
      }
    }
  }

  return {
    start: () => {
      void stepStore();
      cancelSteps = clock.runEvery(STORE_STEP_PERIOD_MS, () => {
        void stepStore();
      });
    },
    onBrokenAttempt: (loss) => {
      void onBrokenAttempt(loss);
    },
    onBegun,
    findCondemned: (parts) => suspects.findCondemned(withCombination(parts), clock.monotonicMs()),
    ownReports: (nowMs) => {
      crashes = crashes
        .filter(({ atMs }) => nowMs - atMs < REPORT_REPEAT_MS)
        .slice(-REPORTED_CRASHES_MAX);
      cleared = cleared.filter(({ atMs }) => nowMs - atMs < REPORT_REPEAT_MS);
      return { crashes, cleared, condemned: suspects.condemned(nowMs) };
    },
    onPeerReports,
    stop: () => cancelSteps(),
  };
}
