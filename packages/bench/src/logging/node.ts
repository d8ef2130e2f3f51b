// A router on the platform whose decision log can be switched off, to measure the log's cost.
import { readFileSync } from 'node:fs';
import { createDecisionLog, createDescriptorSink } from '@mimosamill/adapters';
import { startPlatformRouter } from '@mimosamill/platform';
import type { DecisionLog } from '@mimosamill/adapters';
import type { GatewaySettings } from '@mimosamill/router';

const STDOUT = 1;
const NO_LINES = 'none';
const ignore = (): void => undefined;

const [, , file = '', lines = ''] = process.argv;
const settings = JSON.parse(readFileSync(file, 'utf8')) as GatewaySettings;
const silent: DecisionLog = {
  routine: ignore,
  notable: ignore,
  vital: ignore,
  droppedCount: () => 0,
};
const log =
  lines === NO_LINES
    ? silent
    : createDecisionLog({
        sink: createDescriptorSink(STDOUT),
        monotonicMs: () => performance.now(),
        wallMs: () => Date.now(),
        host: settings.hostId,
      });
await startPlatformRouter(settings, log);
