import * as z from 'zod';

const ipPort = z
  .string()
  .regex(/^[\d.]+:\d{1,5}$/u, 'an IP address and port such as 10.0.0.1:7000');
const port = z.number().int().min(0).max(65_535);
const durationMs = z.number().int().positive();

/** Settings of the router binary; packages/router/router.example.jsonc explains each. */
export const routerSettingsSchema = z.strictObject({
  routerId: z.string().min(1).max(64),
  ip: z.ipv4(),
  port,
  peerPort: port,
  region: z.string().min(1),
  failureDomain: z.string().min(1),
  /** Addresses of peers that are contacted first. */
  seeds: z.array(ipPort).default([]),
  platform: ipPort,
  platformTimeoutMs: durationMs.default(2_000),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
  traceSampleRatio: z.number().min(0).max(1).default(0),
  hostListPeriodMs: durationMs.default(1_000),
  loadPeriodMs: durationMs.default(250),
  loadTimeoutMs: durationMs.default(1_000),
  /** With at least this many engines in the region, loads come from digests. */
  digestMinEngines: z.number().int().positive().default(100),
  /** Longest wait for running streams and calls at a planned stop. */
  drainTimeoutMs: durationMs.default(900_000),
  /** Wait between reporting "not ready" and refusing connections, so that load balancers notice. */
  drainNoticeMs: z.number().int().min(0).default(2_000),
  maxBodyBytes: z.number().int().positive().default(1_048_576),
  maxHeaderBytes: z.number().int().positive().default(16_384),
  /** A caller whose headers take longer gets status 408. */
  headersTimeoutMs: durationMs.default(10_000),
  /** A caller whose headers and body take longer gets status 408. */
  requestTimeoutMs: durationMs.default(30_000),
  maxConnections: z.number().int().positive().default(10_000),
});

export type RouterSettings = z.infer<typeof routerSettingsSchema>;
