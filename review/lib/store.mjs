// Stand-in of the platform's store, as PROTOCOL.md describes it: rows, transactions and the feed.
import { createServer } from 'node:http';

const TX_MS = 3;
const FEED_POLL_MS = 2;

/** Starts a store on an address; `put` and `remove` are the writes of operators and engines. */
export async function startStore(ip, port) {
  const rows = new Map();
  const startedAt = performance.now();
  let revision = 0;
  let era = 1;
  let copy;

  const id = (table, key) => `${table}\u0000${key}`;
  const isUp = { value: true };

  function write(table, key, value) {
    rows.set(id(table, key), { table, key, value, row_version: revision });
  }

  function send(res, status, body) {
    res.writeHead(status, { 'content-type': 'application/json', 'store-era': String(era) });
    res.end(JSON.stringify(body));
  }

  function page(list) {
    return {
      rows: list.map(({ table, key, value, row_version: version }) => ({
        table,
        part: '',
        key,
        row_version: version,
        ...(value === undefined ? { tombstone: true } : { value }),
      })),
      more_pages: false,
      row_version: revision,
      now_ms: Math.round(performance.now() - startedAt),
    };
  }

  function feed(res, table, since, untilMs, callEra) {
    if (res.destroyed || !isUp.value) return;
    if (callEra !== era || since > revision) {
      send(res, 410, {});
      return;
    }
    const changed = [...rows.values()]
      .filter((row) => row.table === table && row.row_version > since)
      .sort((a, b) => a.row_version - b.row_version);
    if (changed.length > 0 || performance.now() >= untilMs) send(res, 200, page(changed));
    else setTimeout(() => feed(res, table, since, untilMs, callEra), FEED_POLL_MS);
  }

  function transact(res, text) {
    const { expect_rev: expected = [], set_keys: sets = [], remove = [] } = JSON.parse(text);
    const isMet = expected.every(({ table, key, row_version: version }) => {
      const row = rows.get(id(table, key));
      return (row?.value === undefined ? 0 : row.row_version) === version;
    });
    if (!isMet) {
      send(res, 412, page([]));
      return;
    }
    revision += 1;
    sets.forEach(({ table, key, value }) => write(table, key, value));
    remove.forEach(({ table, key }) => write(table, key, undefined));
    send(res, 200, { row_version: revision, now_ms: Math.round(performance.now() - startedAt) });
  }

  const server = createServer((req, res) => {
    if (!isUp.value) {
      req.socket.destroy();
      return;
    }
    const url = new URL(req.url, 'http://store');
    const table = url.searchParams.get('table') ?? '';
    if (url.pathname === '/rows-get') {
      const list = [...rows.values()]
        .filter((row) => row.table === table && row.value !== undefined)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      setTimeout(() => send(res, 200, page(list)), 1);
    } else if (url.pathname === '/rows-feed') {
      const untilMs = performance.now() + Number(url.searchParams.get('wait_ms'));
      feed(res, table, Number(url.searchParams.get('since_rev')), untilMs, era);
    } else if (url.pathname === '/rows-tx') {
      const chunks = [];
      req.on('data', (chunk) => chunks.push(chunk));
      req.on('end', () => setTimeout(() => transact(res, Buffer.concat(chunks).toString()), TX_MS));
    } else send(res, 404, {});
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });

  function put(table, key, value) {
    revision += 1;
    write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'));
  }

  return {
    put,
    remove: (table, key) => {
      revision += 1;
      write(table, key, undefined);
    },
    get: (table, key) => {
      const value = rows.get(id(table, key))?.value;
      return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString());
    },
    /** Keeps a copy of all rows, from which `restore` brings the store back. */
    takeCopy: () => {
      copy = { rows: new Map(rows), revision };
    },
    /** Takes the store away: its channels are closed, and new ones get no answer. */
    goAway: () => {
      isUp.value = false;
      server.closeAllConnections();
    },
    /** The store is back, with what the copy holds. */
    restore: () => {
      rows.clear();
      copy.rows.forEach((row, key) => rows.set(key, row));
      ({ revision } = copy);
      era += 1;
      isUp.value = true;
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
