import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { describe, expect, it } from 'vitest';
import { createDecisionLog } from '../src/index';

function createTestLog(isTaken: () => boolean = () => true) {
  const lines: Record<string, unknown>[] = [];
  let nowMs = 0;
  const log = createDecisionLog({
    sink: {
      write: (line) => {
        if (!isTaken()) return false;
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
    pass: (ms: number) => {
      nowMs += ms;
    },
  };
}

describe('the decision log', () => {
  it('drops routine lines first and counts what it drops', () => {
    const { log, lines, pass } = createTestLog();
    for (let no = 0; no < 500; no += 1) log.routine('stream.end', { request: `r${no}` });
    const routine = lines.length;
    log.notable('request.refused', { request: 'x' });
    expect(routine).toBeLessThan(500);
    expect(lines.some(({ request }) => request === 'x')).toBe(true);
    expect(log.droppedCount()).toBe(500 - routine);
    pass(1_000);
    log.routine('stream.end', { request: 'later' });
    const dropped = lines.filter(({ event }) => event === 'log.dropped');
    expect(dropped.reduce((sum, { lines: count }) => sum + Number(count), 0)).toBe(500 - routine);
  });

  it('bounds the lines of a second whatever their weight', () => {
    const { log, lines, pass } = createTestLog();
    for (let second = 0; second < 10; second += 1) {
      for (let no = 0; no < 2_000; no += 1) log.vital('servers.changed', { no });
      pass(1_000);
    }
    expect(lines.length).toBeLessThan(3_000);
  });

  it('counts lines that the reader does not take', () => {
    let isTaken = false;
    const { log, lines } = createTestLog(() => isTaken);
    log.vital('store.lost', {});
    isTaken = true;
    log.vital('store.regained', {});
    expect(lines.map(({ event }) => event)).toEqual(['log.dropped', 'store.regained']);
  });

  it('neither stops nor grows a process whose reader does not read', async () => {
    // Node.js writes to pipes synchronously, so that a full pipe would stop the process.
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
    let said = '';
    child.stderr.on('data', (part: Buffer) => {
      said += part.toString();
    });
    await once(child, 'exit');
    child.stdout.destroy();
    const result = JSON.parse(said) as { turns: number; grownMb: number; dropped: number };
    expect(result.turns).toBe(300);
    expect(result.dropped).toBeGreaterThan(100);
    expect(result.grownMb).toBeLessThan(60);
  }, 30_000);
});
