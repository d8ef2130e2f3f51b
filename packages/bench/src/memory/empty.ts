// A bundle without libraries: its memory is the lower bound for a binary of this build.
const KEEP_ALIVE_MS = 1e6;

setInterval(() => undefined, KEEP_ALIVE_MS);
process.stdout.write('ready\n');
