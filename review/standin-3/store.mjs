// Stand-in of the platform's store: rows, transactions, a feed and an era that rises with each restore.
import { createServer } from 'node:http';

const FEED_POLL_MS = 5;

export async function startStore() {
  let revision = 0;
  let era = 1;
  let writes = [];
  const tables = new Map();
  const startedAtMs = performance.now();

  const tableOf = (name) => {
    if (!tables.has(name)) tables.set(name, new Map());
    return tables.get(name);
  };

  function apply({ table, row }) {
    tableOf(table).set(row.key, row);
  }

  function write(table, key, value) {
    const entry = { table, row: { key, value, revision } };
    writes.push(entry);
    apply(entry);
  }

  function answer(res, status, body) {
    const text = JSON.stringify(body);
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      'store-era': String(era),
    });
    res.end(text);
  }

  function page(rows) {
    return {
      rows: rows.map((row) =>
        row.value === undefined
          ? { key: row.key, row_version: row.revision, tombstone: true }
          : { key: row.key, row_version: row.revision, value: row.value },
      ),
      row_version: revision,
      now_ms: Math.round(performance.now() - startedAtMs),
      more_pages: false,
    };
  }

  function feed(res, query) {
    const since = Number(query.get('since_rev'));
    const untilMs = performance.now() + Number(query.get('wait_ms'));
    const askedEra = era;
    const look = () => {
      if (res.destroyed) return;
      if (since > revision || askedEra !== era) {
        answer(res, 410, {});
        return;
      }
      const rows = [...tableOf(query.get('table')).values()]
        .filter((row) => row.revision > since)
        .sort((a, b) => a.revision - b.revision);
      if (rows.length > 0 || performance.now() >= untilMs) answer(res, 200, page(rows));
      else setTimeout(look, FEED_POLL_MS);
    };
    look();
  }

  function transact(res, text) {
    const { expect_rev: expected = [], set_keys: puts = [], remove = [] } = JSON.parse(text);
    const isMet = expected.every(({ table, key, row_version: version }) => {
      const row = tableOf(table).get(key);
      return (row?.value === undefined ? 0 : row.revision) === version;
    });
    if (!isMet) {
      answer(res, 412, { rows: [] });
      return;
    }
    revision += 1;
    puts.forEach(({ table, key, value }) => write(table, key, value));
    remove.forEach(({ table, key }) => write(table, key, undefined));
    answer(res, 200, { row_version: revision, now_ms: page([]).now_ms });
  }

  const server = createServer((req, res) => {
    const url = new URL(req.url, 'http://store');
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => {
      if (url.pathname === '/rows-get') {
        const rows = [...tableOf(url.searchParams.get('table')).values()];
        answer(res, 200, page(rows.filter(({ value }) => value !== undefined)));
      } else if (url.pathname === '/rows-feed') feed(res, url.searchParams);
      else if (url.pathname === '/rows-tx') transact(res, Buffer.concat(chunks).toString());
      else answer(res, 404, {});
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    put: (table, key, value) => {
      revision += 1;
      write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'));
      return revision;
    },
    remove: (table, key) => {
      revision += 1;
      write(table, key, undefined);
    },
    get: (table, key) => {
      const value = tableOf(table).get(key)?.value;
      return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString());
    },
    revision: () => revision,
    restore: (toRevision) => {
      writes = writes.filter(({ row }) => row.revision <= toRevision);
      tables.clear();
      writes.forEach(apply);
      revision = toRevision;
      era += 1;
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
