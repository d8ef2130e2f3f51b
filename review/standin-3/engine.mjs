// Stand-in of a backend server, as a process of its own, so that it can be killed like one.
// Reads one JSON argument; writes one JSON line to its standard output for each request and run.
import { createServer } from 'node:http';

const HEALTH_PATH = '/healthz';
const options = JSON.parse(process.argv[2]);
const { id, port, kind, unframed, eventCount, eventGapMs, prefillMs, workMs } = options;
const bornMs = Date.now();

function note(what, fields) {
  process.stdout.write(
    `${JSON.stringify({ what, server: id, bornMs, atMs: Date.now(), ...fields })}\n`,
  );
}

/** The whole answer to a call, or one event of a stream; the same from every server. */
const callText = (requestId) => `answer to ${requestId} `.repeat(20);
const eventText = (requestId, no) => `id: ${no}\ndata: ${requestId}/${no}\n\n`;

function headOf(requestId) {
  return { 'x-attempt-id': requestId, 'x-server-seal': `seal.${id}`, 'x-server-load': '0,0,8' };
}

/** Writes a head of a response that has neither a length nor chunks and ends with its channel. */
function writeUnframedHead(socket, fields) {
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n${lines.join('')}\r\n`);
}

function reject(res, status, requestId) {
  res.writeHead(status, {
    'x-attempt-id': requestId,
    'x-instance-id': id,
    'x-not-executed': '1',
    'content-length': 0,
  });
  res.end();
}

/**
 * SIGUSR1 spoils the next answer. A stream gets lines without the blank line that ends an event, a call gets bytes that
 * are no answer; both in small chunks.
 */
let spoilsNext = false;
process.on('SIGUSR1', () => {
  spoilsNext = true;
});
const SPOILT_CHUNK = kind === 'stream' ? '8\r\ndata: x\n\r\n' : '3\r\nxxx\r\n';
const SPOILT_CHUNKS_AT_ONCE = 5_000;

function writeSpoilt(socket, head) {
  const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n${lines.join('')}\r\n`);
  const block = SPOILT_CHUNK.repeat(SPOILT_CHUNKS_AT_ONCE);
  let left = options.spoiltChunks;
  function push() {
    while (left > 0 && !socket.destroyed) {
      left -= SPOILT_CHUNKS_AT_ONCE;
      if (!socket.write(block)) {
        socket.once('drain', push);
        return;
      }
    }
  }
  push();
}

function runStream(req, res, requestId) {
  const { socket } = res;
  if (spoilsNext) {
    spoilsNext = false;
    note('spoils', { request: requestId });
    writeSpoilt(socket, { ...headOf(requestId), 'content-type': 'text/event-stream' });
    return;
  }
  let sent = Number(req.headers['last-event-id'] ?? 0);
  const head = { ...headOf(requestId), 'content-type': 'text/event-stream' };
  let timer = setTimeout(begin, prefillMs);
  res.once('close', () => {
    clearTimeout(timer);
    if (sent < eventCount) note('run_dropped', { request: requestId, sent });
  });

  function begin() {
    if (unframed) writeUnframedHead(socket, head);
    else res.writeHead(200, head);
    next();
  }

  let ofThisRun = 0;
  const breaksOff = Math.random() < failureRatio;

  function next() {
    if (breaksOff && ofThisRun >= options.breakAfterEvents) {
      note('run_broken_off', { request: requestId, sent });
      clearTimeout(timer);
      socket.resetAndDestroy();
      return;
    }
    sent += 1;
    ofThisRun += 1;
    const text = eventText(requestId, sent);
    if (unframed) socket.write(text);
    else res.write(text);
    if (sent < eventCount) {
      timer = setTimeout(next, eventGapMs);
      return;
    }
    note('run_complete', { request: requestId, sent });
    if (unframed) socket.end();
    else res.end();
  }
}

/** From SIGUSR2 on, this part of the answers are failures, as those of a bad version; on one route only, if it is named. */
let failureRatio = 0;
process.on('SIGUSR2', () => {
  failureRatio = options.failureRatio;
  note('turns_bad', {});
});

function runCall(req, res, requestId) {
  if (spoilsNext) {
    spoilsNext = false;
    note('spoils', { request: requestId });
    writeSpoilt(res.socket, headOf(requestId));
    return;
  }
  const isOnRoute = req.url.startsWith(options.failingPrefix ?? '/');
  setTimeout(() => {
    if (isOnRoute && Math.random() < failureRatio) {
      note('run_failed', { request: requestId });
      res.writeHead(500, { ...headOf(requestId), 'content-length': 6 });
      res.end('failed');
      return;
    }
    const text = callText(requestId);
    res.writeHead(200, { ...headOf(requestId), 'content-length': text.length });
    res.end(text);
  }, workMs);
}

const server = createServer({ keepAliveTimeout: 30_000 }, (req, res) => {
  if (req.url === HEALTH_PATH) {
    res.writeHead(200, { 'x-instance-id': id, 'content-length': 0 });
    res.end();
    return;
  }
  const requestId = String(req.headers['x-attempt-id'] ?? '');
  // Copies of memory are not offered: no run, and no copy, is known by any name.
  if (req.url === '/kv-move' || req.url.startsWith('/kv-handle/')) {
    req.resume();
    res.writeHead(404, { 'content-length': 0 });
    res.end();
    return;
  }
  const chunks = [];
  req.on('data', (chunk) => chunks.push(chunk));
  req.on('end', () => {
    const body = Buffer.concat(chunks).toString();
    const expected = req.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      note('misdirected', { request: requestId, expected });
      reject(res, 421, requestId);
      return;
    }
    if (req.headers['kv-from'] !== undefined) {
      note('no_copy', { request: requestId });
      reject(res, 503, requestId);
      return;
    }
    note('run', {
      request: requestId,
      method: req.method,
      path: req.url,
      tenant: req.headers['x-tenant'],
      lastEventId: req.headers['last-event-id'],
      bodyBytes: body.length,
    });
    if (kind === 'stream') runStream(req, res, requestId);
    else runCall(req, res, requestId);
  });
});
server.listen(port, '127.0.0.1', () => note('up', { port: server.address().port }));
