/** Counts events by their age, in steps of time. */
export interface WindowCounter {
  readonly add: (count: number, nowMs: number) => void;
  /** Events that are at least `fromAgeMs` and less than `toAgeMs` old. */
  readonly sum: (fromAgeMs: number, toAgeMs: number, nowMs: number) => number;
}

interface Step {
  readonly no: number;
  count: number;
}

/** Events older than `keptMs` are forgotten. */
export function createWindowCounter(keptMs: number, stepMs: number): WindowCounter {
  let steps: Step[] = [];
  const stepOf = (atMs: number): number => Math.floor(atMs / stepMs);

  return {
    add: (count, nowMs) => {
      const no = stepOf(nowMs);
      const last = steps.at(-1);
      if (last?.no === no) {
        last.count += count;
        return;
      }
      const oldest = stepOf(nowMs - keptMs);
      steps = steps.filter((step) => step.no >= oldest);
      steps.push({ no, count });
    },
    sum: (fromAgeMs, toAgeMs, nowMs) => {
      const newest = stepOf(nowMs - fromAgeMs);
      const oldest = stepOf(nowMs - toAgeMs);
      return steps.reduce(
        (total, { no, count }) => (no > oldest && no <= newest ? total + count : total),
        0,
      );
    },
  };
}
