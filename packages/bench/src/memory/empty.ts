// A bundle without libraries: the least memory that a binary of this build can take.
const KEEP_ALIVE_MS = 1e6;

setInterval(() => undefined, KEEP_ALIVE_MS);
process.stdout.write('ready\n');
