// Shared parts of the scripts: the store, the routers, the engines and the clients of a small deployment.
import { spawn, fork } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, openSync, closeSync } from 'node:fs';
import { createServer, request as httpRequest } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const here = dirname(fileURLToPath(import.meta.url));
const root = dirname(dirname(here));

/** Bounds of the site fanous-mill. */
export const BOUNDS = {
  contact_ms: 3000,
  config_ms: 2000,
  drain_ms: 2000,
  revoke_ms: 5000,
  grace_s: 8,
};
export const HOST = 'ficu95.example';
export const KEY = 'xd9dnn2ctnfzs989anu6';
export const GUIDE = 'bench-guide';
export const SHOP = 'guild-shop';
const EXIT = { held: 0, broken: 1, notRun: 2 };

export const hasTrouble = process.env.TROUBLE !== '0';
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export async function waitFor(what, isTrue, limitMs = 15_000) {
  const endMs = performance.now() + limitMs;
  while (!(await isTrue())) {
    if (performance.now() > endMs) throw new Error(`not reached in time: ${what}`);
    await sleep(10);
  }
}

/** Runs a case: keeps the record, ends all processes and exits with the code of the result. */
export async function runCase(caseUrl, play) {
  const recordFile = join(dirname(fileURLToPath(caseUrl)), 'record.txt');
  const startedAtMs = performance.now();
  const lines = [];
  const record = (text) => {
    lines.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)}  ${text}`);
  };
  record(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
  const deployment = createDeployment(record);
  let code = EXIT.notRun;
  const limit = setTimeout(() => {
    record('the case took too long');
    finish(EXIT.notRun);
  }, 110_000);
  const finish = (exitCode) => {
    clearTimeout(limit);
    deployment.close();
    record(`exit ${exitCode}`);
    writeFileSync(recordFile, `${lines.join('\n')}\n`);
    process.stdout.write(`${lines.slice(-6).join('\n')}\n`);
    process.exit(exitCode);
  };
  process.on('SIGTERM', () => finish(EXIT.notRun));
  process.on('SIGINT', () => finish(EXIT.notRun));
  try {
    const problems = await play(deployment, record);
    problems.forEach((problem) => record(`BROKEN ${problem}`));
    code = problems.length > 0 ? EXIT.broken : EXIT.held;
  } catch (error) {
    record(`could not run: ${error.stack}`);
  }
  finish(code);
}

/** Ports below those that the system uses for outgoing connections. */
let nextPort = 12_000 + Math.floor(Math.random() * 15_000);

export async function freePort() {
  for (;;) {
    nextPort = nextPort >= 31_000 ? 12_000 : nextPort + 1;
    const port = nextPort;
    const isFree = await new Promise((resolve) => {
      const probe = createTcpServer();
      probe.once('error', () => resolve(false));
      probe.listen(port, '127.0.0.1', () => probe.close(() => resolve(true)));
    });
    if (isFree) return port;
  }
}

function createDeployment(record) {
  const directory = mkdtempSync(join(tmpdir(), 'mimosamill-review-'));
  const children = new Set();
  const closers = [];

  function track(child) {
    children.add(child);
    child.once('exit', () => children.delete(child));
    return child;
  }

  /** Starts the deployed program as the deploy file says. */
  async function startRouter(name, zone, store, changes = {}) {
    const settings = {
      hostId: name,
      failureDomain: zone,
      region: 'amman',
      ip: '127.0.0.1',
      callerAddress: `127.0.0.1:${await freePort()}`,
      readyAddress: `127.0.0.1:${await freePort()}`,
      metricsPort: await freePort(),
      peerPort: await freePort(),
      storeAddress: store.address,
      revokeMs: BOUNDS.revoke_ms,
      configMs: BOUNDS.config_ms,
      drainMs: BOUNDS.drain_ms,
      graceMs: BOUNDS.grace_s * 1000,
      retryRatio: 0.8,
      retrySlack: 150,
      linkMbps: 1000,
      memoryMb: 350,
      maxFds: 4200,
      urgentStreamsFirst: false,
      ...changes,
    };
    const file = join(directory, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings));
    const deploy = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/mu.exec(deploy)[1].split(' ');
    const router = {
      name,
      settings,
      address: settings.callerAddress,
      log: join(directory, `${name}.log`),
    };
    router.start = () => {
      const output = openSync(router.log, 'a');
      router.child = track(
        spawn(program, args, {
          cwd: root,
          env: { PATH: process.env.PATH, HOME: process.env.HOME, MIMOSAMILL_BOOT: file },
          stdio: ['ignore', output, output],
        }),
      );
      closeSync(output);
      const { child } = router;
      child.once('exit', (code, signal) => record(`${name} ended, code ${code}, signal ${signal}`));
      record(`${name} started`);
    };
    router.isReady = async () => (await get(settings.readyAddress, '/readyz')) === 200;
    router.waitReady = () => waitFor(`${name} ready`, router.isReady);
    router.signal = (signal) => {
      record(`${name} gets ${signal}`);
      router.child.kill(signal);
    };
    router.start();
    return router;
  }

  /** Starts an engine as a process of its own; it tells what it does in messages. */
  async function startEngine(store, options) {
    const port = options.port ?? (await freePort());
    const engine = { ...options, port, address: `127.0.0.1:${port}`, events: [] };
    engine.start = (changes = {}) => {
      engine.born = Date.now();
      const settings = { ...options, port, born: engine.born, ...changes };
      const child = track(
        fork(join(here, 'engine.mjs'), [JSON.stringify(settings)], { stdio: 'inherit' }),
      );
      engine.child = child;
      engine.isUp = false;
      child.on('message', (event) => {
        if (event.kind === 'listening') engine.isUp = true;
        engine.events.push({ ...event, atMs: performance.now() });
        record(`${options.id} ${JSON.stringify(event)}`);
        options.onEvent?.(event, engine);
      });
      child.once('exit', (code, signal) => {
        engine.isUp = false;
        record(`${options.id} ended, code ${code}, signal ${signal}`);
        options.onExit?.(engine);
      });
    };
    engine.entry = (more = {}) => ({
      service: options.service,
      address: engine.address,
      zone: options.zone,
      version: options.version ?? 'v1',
      slots: options.slots ?? 128,
      state: 'ready',
      cold_left_ms: 0,
      stage: 'both',
      models: [{ name: 'm', version: 1, adapters: [] }],
      sequence: 1,
      born: engine.born,
      ...more,
    });
    engine.register = (more) => {
      store.put('servers', options.id, engine.entry(more));
      record(`entry of ${options.id} written, born ${engine.born}`);
    };
    engine.waitUp = () => waitFor(`${options.id} up`, () => engine.isUp);
    engine.kill = () => engine.child.kill('SIGKILL');
    engine.tell = (message) => engine.child.send(message);
    engine.start();
    await engine.waitUp();
    engine.register();
    return engine;
  }

  return {
    startRouter,
    startEngine,
    startStore: async () => {
      const store = await startStore(record);
      closers.push(store.close);
      return store;
    },
    directory,
    close: () => {
      children.forEach((child) => child.kill('SIGKILL'));
      closers.forEach((close) => close());
      rmSync(directory, { recursive: true, force: true });
    },
  };
}

/** Stand-in of the platform's store: rows only, one counter of versions, nothing expires. */
export async function startStore(record) {
  const tables = new Map();
  const startedAtMs = performance.now();
  let revision = 0;
  let history = [];
  let era;
  const tableOf = (name) => {
    if (!tables.has(name)) tables.set(name, new Map());
    return tables.get(name);
  };
  const nowMs = () => Math.round(performance.now() - startedAtMs);

  function set(table, key, value) {
    const row = { table, part: '', key, value, row_version: revision };
    if (value === undefined) tableOf(table).delete(key);
    else tableOf(table).set(key, row);
    history.push(row);
  }

  function toWire({ value, ...row }) {
    return value === undefined ? { ...row, tombstone: true } : { ...row, value };
  }

  function answer(res, status, body) {
    const text = JSON.stringify({
      ...body,
      row_version: body.row_version ?? revision,
      now_ms: nowMs(),
    });
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...(era === undefined ? {} : { 'store-era': String(era) }),
    });
    res.end(text);
  }

  function transact(body, res) {
    const { expect_rev: expected = [], set_keys: puts = [], remove = [] } = JSON.parse(body);
    const present = ({ table, key }) => tableOf(table).get(key);
    if ([...puts, ...remove].some(({ table }) => table === 'op' || table === 'servers')) {
      answer(res, 403, {});
      return;
    }
    const isMet = expected.every((row) => (present(row)?.row_version ?? 0) === row.row_version);
    if (!isMet) {
      answer(res, 412, { rows: expected.map(present).filter(Boolean).map(toWire) });
      return;
    }
    revision += 1;
    puts.forEach(({ table, key, value }) => set(table, key, value));
    remove.forEach(({ table, key }) => set(table, key, undefined));
    answer(res, 200, {});
  }

  function feed(query, res) {
    const since = Number(query.get('since_rev'));
    const endMs = performance.now() + Number(query.get('wait_ms') ?? 0);
    const check = () => {
      if (res.destroyed) return;
      if (since > revision) {
        answer(res, 410, {});
        return;
      }
      const latest = new Map();
      history
        .filter((row) => row.table === query.get('table') && row.row_version > since)
        .forEach((row) => latest.set(row.key, row));
      if (latest.size === 0 && performance.now() < endMs) setTimeout(check, 4);
      else answer(res, 200, { rows: [...latest.values()].map(toWire) });
    };
    check();
  }

  const server = createServer((req, res) => {
    const url = new URL(req.url, 'http://store');
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => {
      setTimeout(() => {
        if (res.destroyed) return;
        if (url.pathname === '/rows-tx') transact(Buffer.concat(chunks).toString(), res);
        else if (url.pathname === '/rows-feed') feed(url.searchParams, res);
        else if (url.pathname === '/rows-get') {
          const rows = [...tableOf(url.searchParams.get('table')).values()];
          rows.sort((a, b) => (a.key < b.key ? -1 : 1));
          answer(res, 200, { rows: rows.map(toWire), more_pages: false });
        } else answer(res, 404, {});
      }, 3);
    });
  });
  server.keepAliveTimeout = 60_000;
  const port = await freePort();
  await new Promise((resolve) => server.listen(port, '127.0.0.1', resolve));
  const put = (table, key, value) => {
    revision += 1;
    set(table, key, Buffer.from(JSON.stringify(value)).toString('base64'));
    return revision;
  };
  return {
    address: `127.0.0.1:${port}`,
    put,
    remove: (table, key) => {
      revision += 1;
      set(table, key, undefined);
    },
    get: (table, key) => {
      const row = tableOf(table).get(key);
      return row === undefined
        ? undefined
        : JSON.parse(Buffer.from(row.value, 'base64').toString());
    },
    putManifest: (manifest) => {
      put('op', 'config', manifest);
      record(`manifest ${manifest.version} confirmed`);
      return performance.now();
    },
    setEra: (next) => {
      era = next;
    },
    revision: () => revision,
    /** Comes back from a copy: later writes are gone and their versions are given out again. */
    restore: (toRevision) => {
      history = history.filter((row) => row.row_version <= toRevision);
      tables.clear();
      const rows = history;
      rows.forEach((row) => {
        if (row.value === undefined) tableOf(row.table).delete(row.key);
        else tableOf(row.table).set(row.key, row);
      });
      revision = toRevision;
      era += 1;
      record(`store restored to version ${toRevision}, era ${era}`);
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** The manifest of a small deployment, with the figures of the site fanous-mill. */
export function createManifest(version, changes = {}) {
  const route = {
    host: HOST,
    slo_ms: 150,
    priority: 2,
    public: false,
    sticky: false,
    resumable: false,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: 'frame-repair',
        prefix: '/frame/',
        kind: 'streaming',
        timeout_ms: 25_000,
        slo_ms: 4_500,
        priority: 1,
        service: GUIDE,
        max_attempts: 5,
        sticky: true,
        resumable: true,
        gap_target_ms: 700,
        ...changes.stream,
      },
      {
        ...route,
        name: 'slot-booking',
        prefix: '/slot/',
        kind: 'unsafe',
        timeout_ms: 1_200,
        service: SHOP,
        max_attempts: 1,
        ...changes.unsafe,
      },
      {
        ...route,
        name: 'stock-check',
        prefix: '/stock/',
        kind: 'safe',
        timeout_ms: 1_200,
        service: SHOP,
        max_attempts: 2,
        ...changes.safe,
      },
      ...(changes.routes ?? []).map((more) => ({ ...route, ...more })),
    ],
    services: [
      {
        name: GUIDE,
        health_path: '/healthz',
        max_conns: 620,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 128,
          kv_capacity: 55_000,
          kv_token_bytes: 131_072,
          link_mbps: 550_000,
          moves: true,
          backups: true,
          stride: 6,
          most: 12,
          pin_ms: 4_000,
          hold_ms: 2_000,
          handle_s: 4,
          models: [{ name: 'm' }],
        },
      },
      { name: SHOP, health_path: '/healthz', max_conns: 100, protocol: 'h1', tls: false },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: changes.tenants ?? [{ name: 'huka270', api_keys: [KEY], priority: 1 }],
  };
}

/** Status of a GET; 0 without an answer. */
export function get(address, path) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const req = httpRequest({ host, port, path, agent: false, timeout: 1_000 }, (res) => {
      res.resume();
      res.on('end', () => resolve(res.statusCode));
      res.on('error', () => resolve(0));
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(0));
    req.end();
  });
}

let requestNo = 0;

/** Sends a client's request on a new channel and resolves with what the client has seen. */
export function send(
  record,
  router,
  { path, headers = {}, body, key = KEY, deadlineMs = 2_500, id },
) {
  requestNo += 1;
  const attemptId = id ?? `${process.pid.toString(16)}-${requestNo}`;
  const [host, port] = router.address.split(':');
  const seen = { id: attemptId, path, status: 0, headers: {}, body: '', isComplete: false };
  seen.sentAtMs = performance.now();
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(limit);
      seen.endedAtMs = performance.now();
      const seal = seen.headers['x-server-seal'];
      record(
        `client ${attemptId} ${path} -> ${seen.status}, seal ${seal}, ${seen.body.length} B, ` +
          `${seen.isComplete ? 'complete' : 'cut off'}, sent ${((seen.endedAtMs - seen.sentAtMs) / 1000).toFixed(3)} s ago`,
      );
      resolve(seen);
    };
    const req = httpRequest(
      {
        host,
        port,
        path,
        method: body === undefined ? 'GET' : 'POST',
        agent: false,
        headers: {
          host: HOST,
          'x-attempt-id': attemptId,
          'x-deadline-ms': String(deadlineMs),
          ...(key === undefined ? {} : { authorization: `Token ${key}` }),
          ...headers,
        },
      },
      (res) => {
        seen.status = res.statusCode;
        seen.headers = res.headers;
        res.on('data', (chunk) => {
          seen.body += chunk.toString();
        });
        res.on('end', () => {
          seen.isComplete = res.complete;
        });
        res.on('error', () => undefined);
        res.on('close', finish);
      },
    );
    const limit = setTimeout(() => req.destroy(), deadlineMs);
    req.on('error', () => {
      if (seen.status === 0) finish();
    });
    req.end(body);
  });
}

let partNo = 0;

/** Headers of a streaming request: the prompt's shared parts and a last part of its own. */
export function promptHeaders(
  sharedParts = ['5c1e07a2:200'],
  promptTokens = 1_000,
  outputTokens = 800,
) {
  partNo += 1;
  const own = `${(0xa0000000 + partNo).toString(16)}:${promptTokens}`;
  return {
    'x-model': 'm',
    'x-token-count': `${promptTokens + 200},${outputTokens}`,
    'x-prompt-prefix': [...sharedParts, own].join(),
  };
}

/** Ids of the complete events of a stream. */
export function eventIds(body) {
  return [...body.matchAll(/^id: (\d+)$/gmu)].map(([, id]) => Number(id));
}
