import { cac } from 'cac';
import { exitOnSignals } from '../fleet/process';
import { runDemo } from './demo';
import { runPlatformDemo } from './platform';

async function main(isStaying: boolean): Promise<void> {
  exitOnSignals();
  const demo = await runDemo((line) => console.log(line));
  if (isStaying) {
    console.log('the fleet stays up until Ctrl-C; try:');
    demo.hints.forEach((hint) => console.log(`  ${hint}`));
    console.log(JSON.stringify(demo.result));
    return;
  }
  await demo.stop();
  console.log(JSON.stringify(demo.result));
  const { result } = demo;
  const isGood =
    result.tokens_missing === 0 &&
    result.tokens_repeated === 0 &&
    result.bookings_run === result.bookings_requested &&
    result.move === 'done';
  process.exit(isGood ? 0 : 1);
}

async function showPlatform(): Promise<void> {
  exitOnSignals();
  const result = await runPlatformDemo((line) => console.log(line));
  console.log(JSON.stringify(result));
  const isGood =
    result.events_missing === 0 &&
    result.stream_engines === 2 &&
    result.bookings_run === result.bookings_requested &&
    result.key_statuses.join() === '200,401' &&
    result.move === 'completed';
  process.exit(isGood ? 0 : 1);
}

const cli = cac('demo');
cli
  .command('', 'Start a small fleet and take it through its paces')
  .option('--stay', 'Leave the fleet up afterwards')
  .option('--platform', "Show the router on a stand-in of the users' platform instead")
  .action((options: { stay?: boolean; platform?: boolean }) =>
    options.platform === true ? showPlatform() : main(options.stay === true),
  );
cli.help();
cli.parse();
