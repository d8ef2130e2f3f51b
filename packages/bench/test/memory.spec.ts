import { describe, expect, it } from 'vitest';
import { parseProcStatus } from '../src/measure/memory/status';

const STATUS = 'Name:\tnode\nVmRSS:\t   50000 kB\nRssAnon:\t   20000 kB\nRssFile:\t   30000 kB\n';

describe('memory readings', () => {
  it('converts the KiB of /proc to MB, and does not take them for KB', () => {
    expect(parseProcStatus(STATUS)).toEqual({
      residentMb: 51.2,
      anonymousMb: 20.48,
      fileMb: 30.72,
    });
  });

  it('reports a missing field as an error, not as zero', () => {
    expect(() => parseProcStatus(STATUS.replace('RssAnon', 'Other'))).toThrow('RssAnon');
  });
});
