// Baseline for bench-node: the same libraries and load, without work for other routers.
import { createServer } from 'node:http';
import { cac } from 'cac';
import {
  loadHashFunctions,
  createHttpClient,
  createLog,
  createMetrics,
  createSystemClock,
} from '@mimosamill/adapters';
import { createRandom } from '@mimosamill/fakes';
import { createReport, startLoad } from './load';
import type { NodeOptions } from './load';

async function start(options: NodeOptions): Promise<void> {
  const [host = '', port = ''] = options.peer.split(':');
  const { hash32 } = await loadHashFunctions();
  const log = createLog('idle', 'warn');
  const metrics = createMetrics();
  const http = createHttpClient();
  const clock = createSystemClock();
  const tokens = metrics.counter('tokens_total', 'Tokens of the running streams');
  const random = createRandom(Number(options.seed));
  // Simulates the engines from which routers read loads.
  const server = createServer((_, response) => {
    const report = createReport('engine', random);
    response.setHeader('content-type', 'application/json');
    response.end(
      JSON.stringify({
        engine_id: 'engine',
        state: report.state,
        role: report.role,
        running: report.running,
        queued: report.queued,
        max_running: report.maxRunning,
        cache_used_ratio: report.cacheUsedRatio,
        step_ms: report.stepMs,
        loaded: report.loaded,
        report_age_ms: report.reportAgeMs,
      }),
    );
  });
  server.listen(Number(port), host);
  const load = startLoad(options, {
    onStart: () => undefined,
    onToken: () => tokens.inc(),
    onEnd: () => undefined,
  });
  log.debug('started', { at: clock.nowMs(), hash: hash32(options.id), http: typeof http });
  load.report(() => ({}), print);
  print({ event: 'ready' });
}

function print(line: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify({ ...line, atMs: Date.now() })}\n`);
}

const cli = cac('bench-idle');
cli
  .command('', 'Run one router without peers')
  .option('--id <id>', 'Router id')
  .option('--peer <address>', 'Address of its server')
  .option('--region <region>', 'Region')
  .option('--domain <domain>', 'Failure domain')
  .option('--seeds <addresses>', 'Unused')
  .option('--seed <number>', 'Seed of the random numbers')
  .option('--engines <number>', 'Unused', { default: 0 })
  .option('--streams <number>', 'Running streams of this router', { default: 0 })
  .option('--customers <number>', 'Customers in the configuration', { default: 0 })
  .option('--loads <address>', 'Unused', { default: '' })
  .option('--flush <ms>', 'Unused', { default: 0 })
  .action((options: NodeOptions) => start(options));
cli.parse();
