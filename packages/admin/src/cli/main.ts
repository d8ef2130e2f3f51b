import { readFileSync } from 'node:fs';
import { cac } from 'cac';
import { createAdminClient } from './client';
import { createCommands, STANDARD_INPUT } from './commands';
import { EXIT } from './exit';
import { explainFiles } from './explain';
import { DEFAULT_ROUTER, explainRequest } from './explain-request';
import type { CommandOptions } from './commands';
import type { ExplainRequestOptions } from './explain-request';

const VERSION = '0.1.0';
const DEFAULT_SERVER = '127.0.0.1:7300';

interface GlobalOptions extends CommandOptions {
  readonly server?: string;
  readonly keyFile?: string;
}

type Commands = ReturnType<typeof createCommands>;

/** Reads the key from a file or the environment, since arguments are visible to other users. */
function readKey(options: GlobalOptions): string | undefined {
  if (options.keyFile === undefined) return process.env['MIMOSACTL_KEY'];
  try {
    return readFileSync(options.keyFile, 'utf8').trim();
  } catch (error) {
    console.error(`${options.keyFile}: ${(error as Error).message}`);
    return undefined;
  }
}

async function run(
  options: GlobalOptions,
  command: (commands: Commands) => Promise<number>,
): Promise<void> {
  const key = readKey(options);
  if (key === undefined || key === '') {
    console.error('no key: expected one in MIMOSACTL_KEY or in the file given by --key-file');
    process.exitCode = EXIT.usage;
    return;
  }
  const server = options.server ?? process.env['MIMOSACTL_SERVER'] ?? DEFAULT_SERVER;
  const client = createAdminClient({ server, key });
  const commands = createCommands({
    client,
    print: (text) => console.log(text),
    printError: (text) => console.error(text),
    nowMs: () => Date.now(),
  });
  process.exitCode = await command(commands);
  await client.close();
}

/** Replaces "-" by a name for standard input, since the parser (cac) drops a lone "-". */
function nameStandardInput(argv: readonly string[]): string[] {
  return argv.map((word) => (word === '-' ? STANDARD_INPUT : word));
}

/** Joins "move order" to "move-order", since cac has only commands of one word. */
function joinMoveCommand(argv: readonly string[]): string[] {
  const index = argv.indexOf('move', 2);
  const verb = argv[index + 1];
  if (index < 0 || verb === undefined || verb.startsWith('-')) return [...argv];
  return [...argv.slice(0, index), `move-${verb}`, ...argv.slice(index + 2)];
}

const cli = cac('mimosactl');
cli.option('--server <ip:port>', `Administration API (MIMOSACTL_SERVER, ${DEFAULT_SERVER})`);
cli.option('--key-file <file>', 'File with the key (or MIMOSACTL_KEY)');
cli.option('--json', 'Print the answer as JSON');

cli
  .command('list <section>', 'List services, customers, teams, exceptions or defaults')
  .option('--after <id>', 'Continue after this id')
  .option('--limit <count>', 'Entries per page')
  .action((section: string, options: GlobalOptions) =>
    run(options, (commands) => commands.list(section, options)),
  );
cli
  .command('show <section> <id>', 'Show one entry')
  .action((section: string, id: string, options: GlobalOptions) =>
    run(options, (commands) => commands.show(section, id, options)),
  );
cli
  .command('effective', 'Show the settings in effect')
  .option('--service <name>', 'For this service')
  .option('--customer <id>', 'For this customer')
  .option('--failure-domain <name>', 'In this failure domain')
  .action((options: GlobalOptions) => run(options, (commands) => commands.effective(options)));
cli
  .command('export', 'Print the whole configuration')
  .option('--revision <number>', 'As it was at this revision')
  .action((options: GlobalOptions) => run(options, (commands) => commands.export(options)));
cli
  .command('diff <from> [to]', 'Show what differs between two revisions')
  .action((from: string, to: string | undefined, options: GlobalOptions) =>
    run(options, (commands) => commands.diff(from, to, options)),
  );
cli
  .command('apply <file>', 'Apply a list of changes ("-" reads standard input)')
  .option('--why <text>', 'Reason, kept in the history')
  .option('--base <revision>', 'Revision the changes are based on')
  .option('--operation-id <id>', 'Operation id; a repeated one has no further effect')
  .option('--dry-run', 'Only show what would change')
  .action((file: string, options: GlobalOptions) =>
    run(options, (commands) => commands.apply(file, options)),
  );
cli
  .command('history', 'List revisions, newest first')
  .option('--before <revision>', 'Continue before this revision')
  .option('--limit <count>', 'Revisions per page')
  .action((options: GlobalOptions) => run(options, (commands) => commands.history(options)));
cli
  .command(
    'undo <revision>',
    'Undo a revision by a new revision that restores the replaced entries',
  )
  .option('--why <text>', 'Reason, kept in the history')
  .option('--operation-id <id>', 'Operation id; a repeated one has no further effect')
  .option('--dry-run', 'Only show what would change')
  .action((revision: string, options: GlobalOptions) =>
    run(options, (commands) => commands.undo(revision, options)),
  );
cli
  .command('watch', 'Print revisions as they are accepted')
  .option('--after <revision>', 'Start after this revision')
  .action((options: GlobalOptions) => run(options, (commands) => commands.watch(options)));
cli
  .command('status', 'Show, by region, how many routers have applied a revision')
  .option('--revision <number>', 'This revision instead of the newest')
  .option('--wait', 'Show progress until all routers have applied it, for at most 60 s')
  .action((options: GlobalOptions) => run(options, (commands) => commands.status(options)));
cli
  .command('move-order <service> <version>', 'Order a version move (also: move order)')
  .option('--by <time>', 'Deadline: 30m, 2h or an ISO time')
  .option('--reason <text>', 'Reason, kept with the move')
  .option('--operation-id <id>', 'Operation id; a repeated one has no further effect')
  .action((service: string, version: string, options: GlobalOptions) =>
    run(options, (commands) => commands.orderMove(service, version, options)),
  );
cli
  .command('move-watch <id>', 'Print the progress of a move until it has ended (also: move watch)')
  .action((id: string, options: GlobalOptions) =>
    run(options, (commands) => commands.watchMove(id, options)),
  );
cli
  .command('move-cancel <id>', 'Cancel a running move (also: move cancel)')
  .option('--reason <text>', 'Reason, kept with the move')
  .action((id: string, options: GlobalOptions) =>
    run(options, (commands) => commands.cancelMove(id, options)),
  );
cli
  .command('move-list', 'List moves (also: move list)')
  .option('--after <id>', 'Continue after this id')
  .option('--limit <count>', 'Moves per page')
  .action((options: GlobalOptions) => run(options, (commands) => commands.listMoves(options)));
cli
  .command(
    'explain <request> [...files]',
    "Show from routers' log lines what happened to a request",
  )
  .action(async (requestId: string, files: string[]) => {
    process.exitCode = await explainFiles(requestId, files, {
      print: (text) => console.log(text),
      printError: (text) => console.error(text),
    });
  });
cli
  .command(
    'explain-request <host> <path>',
    'Show where a router would send a request now, and why, without sending it',
  )
  .option('--router <ip:port>', `Address of the router's metrics (${DEFAULT_ROUTER})`)
  .option('--method <name>', 'Method of the request')
  .option('--prompt-tokens <count>', 'Tokens of the prompt')
  .option('--output-tokens <count>', 'Most tokens of the answer')
  .option('--length-hint <count>', "Caller's estimate of the tokens of the answer")
  .option('--customer <id>', 'Customer whose key the request has')
  .option('--draw <number>', 'Random number of the request, from 0 to below 1')
  .action(async (host: string, path: string, options: ExplainRequestOptions) => {
    process.exitCode = await explainRequest(host, path, options, {
      print: (text) => console.log(text),
      printError: (text) => console.error(text),
    });
  });
cli.help();
cli.version(VERSION);

try {
  cli.parse(nameStandardInput(joinMoveCommand(process.argv)), { run: false });
  const isAnswered = cli.options['help'] === true || cli.options['version'] === true;
  if (cli.matchedCommand === undefined && !isAnswered) {
    cli.outputHelp();
    process.exitCode = EXIT.usage;
  } else await cli.runMatchedCommand();
} catch (error) {
  console.error((error as Error).message);
  process.exitCode = EXIT.usage;
}
