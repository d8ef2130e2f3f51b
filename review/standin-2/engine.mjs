// Stand-in of an engine, or of a server of a plain service, as a process of its own. It tells its parent
// what it does, and follows the parent's orders.
import { createServer } from 'node:http';

const options = JSON.parse(process.argv[2]);
const {
  id,
  port,
  isStreaming = false,
  workMs = 30,
  prefillMs = 100,
  gapMs = 40,
  pieces = 60,
} = options;
/** Changed by the parent's messages. */
const state = { isUnframed: false, retryAfterSec: undefined, isDeadly: false, ...options.state };
/** The first piece is on its way by then. */
const DEADLY_AFTER_MS = 5;
const tell = (event) => process.send?.(event);
let running = 0;

process.on('message', (message) => Object.assign(state, message));
process.on('disconnect', () => process.exit(0));

function common(req) {
  return {
    'x-attempt-id': String(req.headers['x-attempt-id'] ?? ''),
    'x-server-load': `${running},0,${options.slots ?? 128}`,
  };
}

function refuse(req, res, status, more = {}) {
  res
    .writeHead(status, { ...common(req), 'x-not-executed': '1', 'content-length': 0, ...more })
    .end();
  tell({ kind: 'refused', id: req.headers['x-attempt-id'], status });
}

/** Whether the request crashes the engine that begins to run it. */
function isDeadly(req) {
  const { deadlyPart } = options;
  return (
    deadlyPart !== undefined &&
    String(req.headers['x-prompt-prefix'] ?? '').includes(`${deadlyPart}:`)
  );
}

/** Sends the head of an answer; without a length, the answer ends with its channel. */
function startAnswer(req, res, headers, isUnframed) {
  const head = {
    ...common(req),
    'x-server-seal': `seal.${id}.${req.headers['x-attempt-id']}`,
    ...headers,
  };
  if (!isUnframed) {
    res.writeHead(200, head);
    return { write: (text) => res.write(text), end: () => res.end() };
  }
  const { socket } = res;
  socket.write(headText('200 OK', { connection: 'close', ...head }));
  return { write: (text) => socket.write(text), end: () => socket.end() };
}

function runCall(req, res) {
  setTimeout(() => {
    running -= 1;
    if (state.badStatusLine !== undefined) {
      res.socket.end(`${state.badStatusLine}\r\ncontent-length: 2\r\n\r\nxx`);
      tell({ kind: 'spoilt', id: req.headers['x-attempt-id'], statusLine: state.badStatusLine });
      state.badStatusLine = undefined;
      return;
    }
    const text = `answer to ${req.headers['x-attempt-id']} `.padEnd(800, 'x');
    const { isUnframed } = state;
    const answer = startAnswer(
      req,
      res,
      isUnframed ? {} : { 'content-length': text.length },
      isUnframed,
    );
    answer.write(text);
    answer.end();
  }, workMs);
}

/** The lines of a head, in which a field may stand on several lines. */
function headText(status, fields) {
  const lines = Object.entries(fields).flatMap(([name, value]) =>
    [value].flat().map((text) => `${name}: ${text}\r\n`),
  );
  return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n`;
}

/** Answers with the engine's own 500, with neither a length nor chunks; the request has run. */
function failUnframed(req, res) {
  running -= 1;
  const fields = { ...common(req), 'x-server-seal': `seal.${id}`, ...options.failureHeaders };
  res.socket.end(`${headText('500 Internal Server Error', fields)}failed`);
  tell({ kind: 'answered', id: req.headers['x-attempt-id'], status: 500 });
}

function runStream(req, res) {
  if (req.url === options.failingPath) {
    setTimeout(() => failUnframed(req, res), prefillMs);
    return;
  }
  let next = Number(req.headers['last-event-id'] ?? 0) + 1;
  let hasLeft = false;
  let answer;
  res.once('close', () => {
    hasLeft = true;
  });
  const finish = () => {
    running -= 1;
    tell({ kind: 'ended', id: req.headers['x-attempt-id'], lastPiece: next - 1 });
  };
  const step = () => {
    if (hasLeft) {
      finish();
      return;
    }
    if (isDeadly(req) && options.crashesBeforeFirstPiece) process.exit(1);
    answer ??= startAnswer(
      req,
      res,
      { 'content-type': 'text/event-stream', ...options.headers },
      state.isUnframed,
    );
    answer.write(`id: ${next}\ndata: ${req.headers['x-attempt-id']}/${next}\n\n`);
    if (isDeadly(req)) setTimeout(() => process.exit(1), DEADLY_AFTER_MS);
    tell({ kind: 'piece', id: req.headers['x-attempt-id'], piece: next });
    if (next >= pieces) {
      answer.end();
      next += 1;
      finish();
      return;
    }
    next += 1;
    setTimeout(step, gapMs);
  };
  setTimeout(step, req.headers['kv-from'] === undefined ? prefillMs : gapMs);
}

function onRequest(req, res) {
  const chunks = [];
  req.on('data', (chunk) => chunks.push(chunk));
  req.on('end', () => {
    if (req.url === '/healthz') {
      res.writeHead(200, {
        'x-instance-id': id,
        'x-server-load': `${running},0,8`,
        'content-length': 0,
      });
      res.end();
      tell({ kind: 'health check' });
      return;
    }
    if (req.url === '/kv-move') {
      res.writeHead(503, { 'content-length': 0 }).end();
      return;
    }
    if (req.url.startsWith('/kv-handle/')) {
      res.writeHead(200, { 'content-length': 0 }).end();
      return;
    }
    const {
      'x-attempt-id': attemptId,
      'x-tenant': tenant,
      'last-event-id': lastEventId,
    } = req.headers;
    tell({ kind: 'arrived', id: attemptId, path: req.url, tenant, lastEventId });
    if (req.headers['x-expect-instance'] !== undefined && req.headers['x-expect-instance'] !== id) {
      refuse(req, res, 421, { 'x-instance-id': id });
      return;
    }
    if (state.retryAfterSec !== undefined) {
      refuse(req, res, 503, { 'retry-after': String(state.retryAfterSec) });
      return;
    }
    // No copies of KV caches are kept here.
    if (req.headers['kv-from'] !== undefined) {
      refuse(req, res, 503);
      return;
    }
    running += 1;
    if (isStreaming) runStream(req, res);
    else runCall(req, res);
  });
}

const server = createServer({ keepAliveTimeout: 20_000 }, onRequest);
server.listen(port, '127.0.0.1', () => tell({ kind: 'listening' }));
