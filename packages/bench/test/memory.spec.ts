import { describe, expect, it } from 'vitest';
import { parseProcStatus } from '../src/measure/memory/status';

const STATUS = 'Name:\tnode\nVmRSS:\t   50000 kB\nRssAnon:\t   20000 kB\nRssFile:\t   30000 kB\n';

describe('memory readings', () => {
  it('guards against mistaking KiB of /proc for KB', () => {
    expect(parseProcStatus(STATUS)).toEqual({
      residentMb: 51.2,
      anonymousMb: 20.48,
      fileMb: 30.72,
    });
  });

  it('guards against reporting a missing field as zero', () => {
    expect(() => parseProcStatus(STATUS.replace('RssAnon', 'Other'))).toThrow('RssAnon');
  });
});
