import * as z from 'zod';

const ipPort = z
  .string()
  .regex(/^[\d.]+:\d{1,5}$/u, 'an IP address and port such as 10.0.0.1:7000');
const port = z.number().int().min(0).max(65_535);
const durationMs = z.number().positive();
const ratio = z.number().min(0);

/** Settings of a forwarding router; deploy/settings.jsonc explains each. */
export const gatewaySettingsSchema = z.strictObject({
  hostId: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  ip: z.ipv4(),
  /** Where callers connect. */
  callerAddress: ipPort,
  /** Where the balancer asks whether the router is ready. */
  readyAddress: ipPort,
  metricsPort: port,
  peerPort: port,
  storeAddress: ipPort,
  /** Time within which a removed key must no longer be served; absent if it may be served on. */
  revokeMs: durationMs.optional(),
  /** Time within which an accepted configuration is in force. */
  configMs: durationMs,
  /** Time after which a leaving server gets no new request. */
  drainMs: durationMs,
  /** Time between SIGTERM and SIGKILL. */
  graceMs: durationMs,
  /** Repeats that a service may get, as a share of its requests and beside it. */
  retryRatio: ratio,
  retrySlack: ratio,
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
