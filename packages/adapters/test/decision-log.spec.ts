import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { describe, expect, it } from 'vitest';
import { createDecisionLog } from '../src/index';

function createTestLog(isAccepted: () => boolean = () => true) {
  const lines: Record<string, unknown>[] = [];
  let nowMs = 0;
  const log = createDecisionLog({
    sink: {
      write: (line) => {
        if (!isAccepted()) return false;
        lines.push(JSON.parse(line) as Record<string, unknown>);
        return true;
      },
    },
    monotonicMs: () => nowMs,
    wallMs: () => 0,
    host: 'host-1',
  });
  return {
    log,
    lines,
    advance: (ms: number) => {
      nowMs += ms;
    },
  };
}

describe('the decision log', () => {
  it('drops routine lines first and counts what it drops', () => {
    const { log, lines, advance } = createTestLog();
    for (let no = 0; no < 500; no += 1) log.routine('stream.end', { request: `r${no}` });
    const routine = lines.length;
    log.notable('request.refused', { request: 'x' });
    expect(routine).toBeLessThan(500);
    expect(lines.some(({ request }) => request === 'x')).toBe(true);
    expect(log.droppedCount()).toBe(500 - routine);
    advance(1_000);
    log.routine('stream.end', { request: 'later' });
    const dropped = lines.filter(({ event }) => event === 'log.dropped');
    expect(dropped.reduce((sum, { lines: count }) => sum + Number(count), 0)).toBe(500 - routine);
  });

  it('limits the lines per second even at the highest priority', () => {
    const { log, lines, advance } = createTestLog();
    for (let second = 0; second < 10; second += 1) {
      for (let no = 0; no < 2_000; no += 1) log.vital('servers.changed', { no });
      advance(1_000);
    }
    expect(lines.length).toBeLessThan(3_000);
  });

  it('counts lines that the sink does not accept', () => {
    let isAccepted = false;
    const { log, lines } = createTestLog(() => isAccepted);
    log.vital('store.lost', {});
    isAccepted = true;
    log.vital('store.regained', {});
    expect(lines.map(({ event }) => event)).toEqual(['log.dropped', 'store.regained']);
  });

  it('neither blocks nor fills the memory of a process whose log reader stops reading', async () => {
    // Node.js writes to pipes synchronously, so a full pipe would block the process.
    const program = `
      import { createDecisionLog, createDescriptorSink } from '@mimosamill/adapters';
      const log = createDecisionLog({ sink: createDescriptorSink(1), monotonicMs: () => performance.now(),
        wallMs: () => Date.now(), host: 'h' });
      const startMs = process.memoryUsage().rss;
      let turns = 0;
      const timer = setInterval(() => {
        for (let no = 0; no < 400; no += 1) log.vital('servers.changed', { filler: 'x'.repeat(4000) });
        turns += 1;
        if (turns < 300) return;
        clearInterval(timer);
        const grownMb = (process.memoryUsage().rss - startMs) / 1e6;
        process.stderr.write(JSON.stringify({ turns, grownMb, dropped: log.droppedCount() }));
        process.reallyExit(0);
      }, 5);`;
    const { build } = await import('esbuild');
    const built = await build({
      stdin: { contents: program, resolveDir: import.meta.dirname, loader: 'ts' },
      bundle: true,
      write: false,
      platform: 'node',
      format: 'esm',
      mainFields: ['module', 'main'],
      banner: {
        js: "import { createRequire as __r } from 'node:module'; const require = __r(import.meta.url);",
      },
    });
    const child = spawn('node', ['--input-type=module', '-e', built.outputFiles[0]?.text ?? ''], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pause();
    let output = '';
    child.stderr.on('data', (part: Buffer) => {
      output += part.toString();
    });
    await once(child, 'exit');
    child.stdout.destroy();
    const result = JSON.parse(output) as { turns: number; grownMb: number; dropped: number };
    expect(result.turns).toBe(300);
    expect(result.dropped).toBeGreaterThan(100);
    expect(result.grownMb).toBeLessThan(60);
  }, 30_000);
});
