// A small deployment on loopback addresses: the store, servers and routers of one case, and its record.
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get, request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as delay } from 'node:timers/promises';
import { startStore } from './store.mjs';

const HERE = fileURLToPath(new URL('.', import.meta.url));
const ROOT = resolve(HERE, '../..');
const HEARTBEAT_MS = 1_200;
/** An entry is removed after three heartbeats of silence. */
const ENTRY_LIFE_MS = 3 * HEARTBEAT_MS;
export const HOST = 'desk.example';
export const TENANT = 'ada';
export const KEY = 'key-of-ada';
/** A case ends by itself before its 120 s are over. */
const CASE_MAX_MS = 115_000;
/** Exit codes of a case. */
export const EXIT = { held: 0, broken: 1, notRun: 2 };

/** Below the ports that the system gives to outgoing connections, so that none of these takes a port meanwhile. */
const PORT_MIN = 18_000;
const PORT_MAX = 32_000;
const givenPorts = new Set();

function isFree(port) {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });
}

export async function freePort() {
  for (;;) {
    const port = PORT_MIN + Math.floor(Math.random() * (PORT_MAX - PORT_MIN));
    if (!givenPorts.has(port)) {
      givenPorts.add(port);
      if (await isFree(port)) return port;
    }
  }
}

export async function startDeployment(recordFile) {
  const directory = mkdtempSync(join(tmpdir(), 'review-3-'));
  const store = await startStore();
  const startedAtMs = Date.now();
  const lines = [];
  const events = [];
  const children = new Set();
  const heartbeats = new Map();
  let configVersion = 0;
  let lastConfig;

  function record(text) {
    lines.push(`${((Date.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`);
  }

  function saveRecord() {
    writeFileSync(recordFile, `${lines.join('\n')}\n`);
  }

  function setConfig(config) {
    configVersion += 3;
    lastConfig = {
      version: configVersion,
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
      tenants: [{ name: TENANT, api_keys: [KEY] }],
      ...config,
    };
    store.put('op', 'config', lastConfig);
    record(`the operator writes manifest ${configVersion}`);
  }

  /** After the store came back from an older copy, the operator writes what it had written. */
  function writeConfigAgain() {
    store.put('op', 'config', lastConfig);
    record(`the operator writes manifest ${configVersion} again`);
  }

  /** The entry that a running server writes every heartbeat; it lapses when the server is gone. */
  function list(id, entry) {
    const state = heartbeats.get(id) ?? { sequence: 0, lastAtMs: 0 };
    heartbeats.set(id, state);
    state.entry = entry;
    state.isUp = true;
    state.beat = () => {
      state.sequence += 1;
      state.lastAtMs = Date.now();
      store.put('servers', id, { ...state.entry, sequence: state.sequence });
    };
    state.beat();
  }

  const beating = setInterval(() => {
    heartbeats.forEach((state, id) => {
      const ageMs = Date.now() - state.lastAtMs;
      if (state.isUp && ageMs >= HEARTBEAT_MS) state.beat();
      if (!state.isUp && ageMs >= ENTRY_LIFE_MS) {
        store.remove('servers', id);
        heartbeats.delete(id);
        record(`the entry of ${id} lapses`);
      }
    });
  }, 50);

  function track(child) {
    children.add(child);
    child.once('exit', () => children.delete(child));
    return child;
  }

  /** Starts a server process and lists it. */
  async function startServer(options) {
    const { id, service, zone = 'east', version = 'v1' } = options;
    const port = options.port ?? (await freePort());
    const bornMs = Date.now();
    const child = track(
      spawn(process.execPath, [join(HERE, 'engine.mjs'), JSON.stringify({ ...options, port })], {
        stdio: ['ignore', 'pipe', 'inherit'],
      }),
    );
    let isUp;
    const up = new Promise((done) => {
      isUp = done;
    });
    let rest = '';
    child.stdout.on('data', (bytes) => {
      const parts = (rest + String(bytes)).split('\n');
      rest = parts.pop();
      parts.forEach((text) => {
        const event = JSON.parse(text);
        events.push(event);
        if (event.what === 'up') isUp();
        const { what, server, bornMs: _, atMs: __, ...fields } = event;
        record(`server ${server}: ${what} ${JSON.stringify(fields)}`);
      });
    });
    await up;
    const address = `127.0.0.1:${options.listedPort ?? port}`;
    list(id, {
      service,
      address,
      zone,
      version,
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      born: bornMs,
    });
    return {
      id,
      port,
      kill: () => {
        const state = heartbeats.get(id);
        if (state !== undefined) state.isUp = false;
        record(`server ${id} is killed`);
        child.kill('SIGKILL');
        return new Promise((done) => {
          child.once('exit', done);
        });
      },
      signal: (name) => child.kill(name),
      drain: () => {
        const state = heartbeats.get(id);
        if (state === undefined) return;
        record(`server ${id} reports that it is draining`);
        list(id, { ...state.entry, state: 'draining' });
      },
    };
  }

  /** Starts a router with the command of the deploy file. */
  async function startRouter(hostId, zone) {
    const [caller, ready, metrics, peer] = await Promise.all([1, 2, 3, 4].map(freePort));
    const settings = {
      hostId,
      failureDomain: zone,
      region: 'home',
      ip: '127.0.0.1',
      callerAddress: `127.0.0.1:${caller}`,
      readyAddress: `127.0.0.1:${ready}`,
      metricsPort: metrics,
      peerPort: peer,
      storeAddress: `127.0.0.1:${store.port}`,
      revokeMs: 5_000,
      configMs: 2_000,
      drainMs: 2_000,
      graceMs: 8_000,
      retryRatio: 0.8,
      retrySlack: 150,
      linkMbps: 1_000,
      memoryMb: 350,
      maxFds: 4_200,
      urgentStreamsFirst: false,
    };
    const file = join(directory, `${hostId}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const [, command] = /^run = "node ([^"]*)"/mu.exec(
      readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'),
    );
    const logFile =
      process.env.LOGS === undefined ? '/dev/null' : `${process.env.LOGS}/${hostId}.log`;
    const log = openSync(logFile, 'a');
    const start = async () => {
      const child = track(
        spawn(process.execPath, command.split(' '), {
          cwd: ROOT,
          env: { PATH: process.env.PATH, HOME: directory, MIMOSAMILL_BOOT: file },
          stdio: ['ignore', log, log],
        }),
      );
      await waitUntil(() => isReady(ready), `${hostId} is ready`);
      record(`router ${hostId} is ready`);
      return child;
    };
    let child = await start();
    return {
      hostId,
      port: caller,
      pid: () => child.pid,
      isReady: () => isReady(ready),
      signal: (name) => {
        record(`router ${hostId} gets ${name}`);
        child.kill(name);
      },
      isRunning: () => child.exitCode === null && child.signalCode === null,
      restart: async () => {
        child = await start();
      },
    };
  }

  async function close() {
    clearInterval(beating);
    const ends = [...children].map(
      (child) =>
        new Promise((done) => {
          child.once('exit', done);
          child.kill('SIGCONT');
          child.kill('SIGKILL');
        }),
    );
    await Promise.all(ends);
    store.close();
    rmSync(directory, { recursive: true, force: true });
    saveRecord();
  }

  return {
    store,
    record,
    events,
    setConfig,
    writeConfigAgain,
    list,
    startServer,
    startRouter,
    close,
  };
}

function isReady(port) {
  return new Promise((done) => {
    const req = get(
      { host: '127.0.0.1', port, path: '/readyz', agent: false, timeout: 500 },
      (res) => {
        res.resume();
        done(res.statusCode === 200);
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => done(false));
  });
}

export async function waitUntil(isDone, what, maxMs = 15_000) {
  const endMs = Date.now() + maxMs;
  while (!(await isDone())) {
    if (Date.now() > endMs) throw new Error(`not in time: ${what}`);
    await delay(25);
  }
}

/** Sends a request as a client does; resolves with what it has received when its channel is done. */
export function send(
  port,
  { requestId, path, method = 'POST', body = 'body', budgetMs, headers, key = KEY, agent },
) {
  return new Promise((done) => {
    const chunks = [];
    const answer = { status: 0, headers: {}, isComplete: false };
    const finish = () => done({ ...answer, body: Buffer.concat(chunks).toString() });
    const req = httpRequest(
      {
        host: '127.0.0.1',
        port,
        path,
        method,
        agent: agent ?? false,
        headers: {
          host: HOST,
          'x-attempt-id': requestId,
          'x-deadline-ms': String(budgetMs),
          authorization: `Token ${key}`,
          ...headers,
        },
      },
      (res) => {
        answer.status = res.statusCode;
        answer.headers = res.headers;
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('end', () => {
          answer.isComplete = res.complete;
        });
        res.on('error', () => undefined);
        res.on('close', finish);
      },
    );
    const timeout = setTimeout(() => req.destroy(), budgetMs);
    req.on('close', () => clearTimeout(timeout));
    req.on('error', finish);
    req.end(method === 'GET' ? undefined : body);
  });
}

/** Routes and services like those of the sheet of the lantern guild. */
export function guildConfig() {
  const route = { host: HOST, public: false, sticky: false };
  const stream = {
    ...route,
    kind: 'streaming',
    service: 'bench-guide',
    timeout_ms: 25_000,
    slo_ms: 4_500,
    gap_target_ms: 700,
    max_attempts: 5,
    priority: 1,
    resumable: true,
    sticky: true,
  };
  return {
    routes: [
      { ...stream, name: 'rib-joint', prefix: '/rib/' },
      { ...stream, name: 'frame-repair', prefix: '/frame/' },
      {
        ...route,
        name: 'slot-booking',
        prefix: '/book/',
        kind: 'unsafe',
        service: 'guild-shop',
        timeout_ms: 1_200,
        slo_ms: 150,
        max_attempts: 1,
        priority: 2,
      },
      {
        ...route,
        name: 'stock-check',
        prefix: '/stock/',
        kind: 'safe',
        service: 'guild-shop',
        timeout_ms: 1_200,
        slo_ms: 150,
        max_attempts: 2,
        priority: 2,
      },
    ],
    services: [
      {
        name: 'bench-guide',
        health_path: '/healthz',
        max_conns: 620,
        engine: { slots: 128, kv_capacity: 55_000, backups: false, moves: false },
      },
      { name: 'guild-shop', health_path: '/healthz', max_conns: 100 },
    ],
  };
}

/** Runs a case: prints and records the verdict, ends all processes, and exits with its code. */
export async function runCase(recordFile, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  let code = EXIT.notRun;
  const deployment = await startDeployment(recordFile);
  const endEarly = async (why) => {
    deployment.record(`could not run: ${why}`);
    await deployment.close();
    process.exit(EXIT.notRun);
  };
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => void endEarly(signal)));
  setTimeout(() => void endEarly('it takes too long'), CASE_MAX_MS).unref();
  try {
    const problems = await play(deployment, hasTrouble);
    code = problems.length === 0 ? EXIT.held : EXIT.broken;
    problems.forEach((problem) => deployment.record(`BROKEN: ${problem}`));
    if (problems.length === 0) deployment.record('the rule held');
    console.log(problems.length === 0 ? 'the rule held' : problems.join('\n'));
  } catch (error) {
    deployment.record(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  await deployment.close();
  process.exit(code);
}
