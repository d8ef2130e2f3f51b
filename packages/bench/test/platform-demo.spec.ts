import { describe, expect, it } from 'vitest';
import { runPlatformDemo } from '../src/demo/platform';

describe('the demo on the stand-in of the platform', () => {
  it('resumes a stream, runs bookings once, refuses a removed key and completes a move', async () => {
    const lines: string[] = [];
    const result = await runPlatformDemo((line) => lines.push(line));
    expect(result).toEqual({
      events_missing: 0,
      stream_engines: 2,
      bookings_requested: 10,
      bookings_run: 10,
      key_statuses: [200, 401],
      move: 'completed',
    });
    expect(lines.filter((line) => line.startsWith('=> '))).toHaveLength(4);
  });
});
