/** Exit codes of mimosactl, for scripts. */
export const EXIT_CODE = {
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
  conflict: EXIT_CODE.conflict,
  overwritten: EXIT_CODE.conflict,
  move_running: EXIT_CODE.conflict,
  unauthorized: EXIT_CODE.denied,
  forbidden: EXIT_CODE.denied,
  store_unavailable: EXIT_CODE.unavailable,
  router_unavailable: EXIT_CODE.unavailable,
  not_reachable: EXIT_CODE.unavailable,
  outcome_unknown: EXIT_CODE.unknown,
};

export function exitCodeOf(code: string): number {
  return EXIT_CODE_BY_ERROR[code] ?? EXIT_CODE.failed;
}
