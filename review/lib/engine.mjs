// Stand-in of an engine or a plain server, one process each. Its parent sends it changes of behaviour
// and gets what it ran. Behaviour follows PROTOCOL.md, "Requests", "Answers" and "Engines".
import { createServer } from 'node:http';

const options = JSON.parse(process.argv[2]);
/**
 * lose: part of the requests whose answers are lost: they run, and the caller gets no byte
 * fail: part of the requests that are run and answered with 500; with failPath only those under that path
 * deadlyPart: prompt part that crashes the engine when it begins to write an answer
 */
const behaviour = { lose: 0, fail: 0, failPath: '/', deadlyPart: undefined, ...options.behaviour };
const running = new Set();
let counter = 0;
/** Parts that have added up; which request is hit first is left to chance. */
const sums = { lose: Math.random(), fail: 0 };

process.on('message', (change) => Object.assign(behaviour, change));
process.on('disconnect', () => process.exit(0));

function report(event, done) {
  if (process.connected) process.send({ atMs: Date.now(), engine: options.id, ...event }, done);
}

/** Spreads a part of the requests evenly. */
function takes(kind) {
  sums[kind] += behaviour[kind];
  if (sums[kind] < 1) return false;
  sums[kind] -= 1;
  return true;
}

function headers(req, more = {}) {
  counter += 1;
  return {
    'X-Attempt-Id': req.headers['x-attempt-id'] ?? '',
    'X-Server-Load': `${running.size},0,${options.slots}`,
    'X-Server-Seal': `${options.id}.${counter}`,
    ...more,
  };
}

function refuse(req, res, status, more) {
  const text = '{}';
  res.writeHead(status, {
    'X-Attempt-Id': req.headers['x-attempt-id'] ?? '',
    'X-Instance-Id': options.id,
    'content-length': text.length,
    ...more,
  });
  res.end(text);
}

/** Runs one stream: reads the prompt, then writes an event each `gapMs`. */
function serveStream(req, res) {
  const id = req.headers['x-attempt-id'];
  const prompt = String(req.headers['x-prompt-prefix'] ?? '');
  const isLost = takes('lose');
  const job = { isOver: false };
  let next =
    req.headers['last-event-id'] === undefined ? 1 : Number(req.headers['last-event-id']) + 1;
  running.add(job);
  report({ kind: 'arrived', id, isLost });
  const stop = () => {
    if (job.isOver) return;
    job.isOver = true;
    running.delete(job);
    clearTimeout(job.timer);
    report({ kind: 'ended', id, events: next - 1 });
  };
  res.on('close', stop);
  const stopAtDeadline = setTimeout(() => res.destroy(), Number(req.headers['x-deadline-ms']));
  res.on('close', () => clearTimeout(stopAtDeadline));

  function writeEvent() {
    if (job.isOver) return;
    const text = `id: ${next}\ndata: ${id}/${next}\n\n`;
    if (!isLost) res.write(text);
    next += 1;
    if (next <= options.events) {
      job.timer = setTimeout(writeEvent, options.gapMs);
      return;
    }
    report({ kind: 'complete', id, events: next - 1 });
    if (!isLost) res.end();
  }

  function begin() {
    if (job.isOver) return;
    if (behaviour.deadlyPart !== undefined && prompt.includes(`${behaviour.deadlyPart}:`)) {
      report({ kind: 'crashed', id }, () => process.kill(process.pid, 'SIGKILL'));
      return;
    }
    report({ kind: 'began', id });
    if (!isLost) {
      if (options.isUnframed) {
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
        res.removeHeader('transfer-encoding');
      }
      res.writeHead(200, headers(req, { 'content-type': 'text/event-stream' }));
    }
    writeEvent();
  }
  job.timer = setTimeout(begin, options.prefillMs);
}

function serveCall(req, res) {
  const id = req.headers['x-attempt-id'];
  report({ kind: 'began', id, tenant: req.headers['x-tenant'] });
  const isFailed = req.url.startsWith(behaviour.failPath) && takes('fail');
  setTimeout(() => {
    const text = isFailed ? 'failed' : `done ${id}`;
    res.writeHead(isFailed ? 500 : 200, headers(req, { 'content-length': text.length }));
    res.end(text);
    report({ kind: 'complete', id, status: isFailed ? 500 : 200 });
  }, options.answerMs);
}

const server = createServer((req, res) => {
  const chunks = [];
  req.on('data', (chunk) => chunks.push(chunk));
  req.on('end', () => {
    const expected = req.headers['x-expect-instance'];
    if (req.url === '/report') refuse(req, res, 200);
    else if (req.headers['x-attempt-id'] === undefined) refuse(req, res, 404);
    else if (expected !== undefined && expected !== options.id) {
      refuse(req, res, 421, { 'X-Not-Executed': '1' });
    } else if (running.size >= options.slots) refuse(req, res, 503, { 'X-Not-Executed': '1' });
    else if (options.prefillMs === undefined) serveCall(req, res);
    else serveStream(req, res);
  });
});
server.keepAliveTimeout = 30_000;
server.listen(options.port, options.ip, () => report({ kind: 'listening' }));
