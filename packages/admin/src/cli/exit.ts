/** Exit codes of mimosactl, for scripts. */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  denied: 4,
  unavailable: 5,
  unknown: 6,
  moveNotDone: 7,
} as const;

const EXIT_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  conflict: EXIT_CODES.conflict,
  overwritten: EXIT_CODES.conflict,
  move_running: EXIT_CODES.conflict,
  unauthorized: EXIT_CODES.denied,
  forbidden: EXIT_CODES.denied,
  store_unavailable: EXIT_CODES.unavailable,
  router_unavailable: EXIT_CODES.unavailable,
  not_reachable: EXIT_CODES.unavailable,
  outcome_unknown: EXIT_CODES.unknown,
};

export function exitCodeOf(code: string): number {
  return EXIT_BY_ERROR_CODE[code] ?? EXIT_CODES.failed;
}
