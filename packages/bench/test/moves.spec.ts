import { describe, expect, it } from 'vitest';
import { loadHashFunctions } from '@mimosamill/adapters';
import { simulatePairedMove } from '../src/measure/moves/paired';
import { createScenario } from '../src/measure/moves/scenario';

const SEED = 11;
const MOVES = 36;

describe('simulated version moves', () => {
  it('complete on time with good versions, are taken back with bad ones, and are reported once', async () => {
    // Guards against routers, the statistical tests and controllers that no longer work together.
    const { hash32 } = await loadHashFunctions();
    const wrong: string[] = [];
    for (let i = 0; i < MOVES; i += 1) {
      const scenario = createScenario(i, SEED);
      if (scenario.isSparse && scenario.fault !== undefined) continue;
      const result = await simulatePairedMove(scenario, hash32);
      const isRight =
        scenario.fault === undefined ? result.isOnTime : result.finalState === 'taken_back';
      const name = `${i} ${scenario.fault?.kind ?? 'good'}: ${result.finalState} (${result.reason})`;
      if (!isRight || result.reportCount !== 1 || result.hasBothOutcomes) wrong.push(name);
    }
    expect(wrong).toEqual([]);
  });
});
