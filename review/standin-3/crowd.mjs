// Stand-in of a crowd of clients that aren't controlled: each sends a chunked body in one-byte chunks, stops short of
// its end and stays. Arguments: port, clients, chunks of each.
import { connect } from 'node:net';

const [port, clients, chunks] = process.argv.slice(2).map(Number);
const CHUNK = '1\r\nx\r\n';
const CHUNKS_AT_ONCE = 5_000;
const STATUS_PERIOD_MS = 1_000;
const block = Buffer.from(CHUNK.repeat(CHUNKS_AT_ONCE));
process.stdout.on('error', () => process.exit());
let closed = 0;
let sentChunks = 0;

function join(no) {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.on('data', () => undefined);
  socket.on('close', () => {
    closed += 1;
  });
  socket.write(
    [
      'POST /stock/x HTTP/1.1',
      'Host: desk.example',
      `X-Attempt-Id: crowd-${no}`,
      'X-Deadline-Ms: 2500',
      'Authorization: Token key-of-ada',
      'Transfer-Encoding: chunked',
      '',
      '',
    ].join('\r\n'),
  );
  let left = chunks;
  function push() {
    while (left > 0 && !socket.destroyed) {
      left -= CHUNKS_AT_ONCE;
      sentChunks += CHUNKS_AT_ONCE;
      if (!socket.write(block)) {
        socket.once('drain', push);
        return;
      }
    }
  }
  push();
}

for (let no = 1; no <= clients; no += 1) join(no);
setInterval(() => {
  console.log(
    `${closed} of ${clients} clients closed by the router; ${sentChunks} chunks handed over`,
  );
}, STATUS_PERIOD_MS);
