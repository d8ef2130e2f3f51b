/** Exit codes of mimosactl, by which scripts tell failures apart. */
export const EXIT = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  denied: 4,
  unavailable: 5,
  unknown: 6,
  moveNotDone: 7,
} as const;

const EXIT_CODE_BY_ERROR: Readonly<Record<string, number>> = {
  conflict: EXIT.conflict,
  overwritten: EXIT.conflict,
  move_running: EXIT.conflict,
  unauthorized: EXIT.denied,
  forbidden: EXIT.denied,
  store_unavailable: EXIT.unavailable,
  router_unavailable: EXIT.unavailable,
  not_reachable: EXIT.unavailable,
  outcome_unknown: EXIT.unknown,
};

export function exitCodeOf(code: string): number {
  return EXIT_CODE_BY_ERROR[code] ?? EXIT.failed;
}
