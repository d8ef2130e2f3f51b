export const CALL_FAULTS = [
  'router_killed',
  'router_paused',
  'server_killed',
  'server_paused',
  'connection_reset',
  'answers_late_or_crossed',
  'tables_outage',
  'tables_slow',
  'commit_answer_lost',
  'caller_resends',
] as const;

export type CallFault = (typeof CALL_FAULTS)[number];

/** A period during which a fault is active. */
export interface FaultWindow {
  readonly fault: CallFault;
  readonly startMs: number;
  readonly endMs: number;
}

/** Every unordered pair of faults, including each fault with itself. */
export function faultPairs(): (readonly [CallFault, CallFault])[] {
  return CALL_FAULTS.flatMap((first, index) =>
    CALL_FAULTS.slice(index).map((second) => [first, second] as const),
  );
}

/** Windows of 1 to 4 s, separated by up to 1.5 s, so that two faults overlap most of the time. */
export function planFaultWindows(
  faults: readonly CallFault[],
  untilMs: number,
  random: () => number,
): FaultWindow[] {
  return faults.flatMap((fault) => {
    const windows: FaultWindow[] = [];
    let startMs = random() * 500;
    while (startMs < untilMs) {
      const endMs = startMs + 1_000 + random() * 3_000;
      windows.push({ fault, startMs, endMs });
      startMs = endMs + random() * 1_500;
    }
    return windows;
  });
}
