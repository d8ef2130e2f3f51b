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
  /** Address that callers connect to. */
  callerAddress: ipPort,
  /** Address of the readiness check of the load balancer. */
  readyAddress: ipPort,
  metricsPort: port,
  peerPort: port,
  storeAddress: ipPort,
  /** Time after which a removed key must not be served any more; absent if there is no such limit. */
  revokeMs: durationMs.optional(),
  /** Time within which an accepted configuration must take effect. */
  configMs: durationMs,
  /** Time after which a leaving server must get no new requests. */
  drainMs: durationMs,
  /** Time between SIGTERM and SIGKILL. */
  graceMs: durationMs,
  /** Fleet-wide retry budget of a service: a ratio of its requests, plus a fixed number. */
  retryRatio: ratio,
  retrySlack: ratio,
  /** Rate of the host's link in Mbit/s, of which messages to other routers take a part; absent if unknown. */
  linkMbps: z.number().positive().optional(),
  /** Memory of the host for the process, in MB; absent if it is not known. */
  memoryMb: z.number().positive().optional(),
  /** Descriptors that the process may have open; absent if it is not known. */
  maxFds: z.number().int().positive().optional(),
  /** Engines serve new streams by priority, and preempt running ones for them; false if absent. */
  urgentStreamsFirst: z.boolean().optional(),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
