import * as z from 'zod';

const address = z.string().regex(/^\S+:\d+$/, 'expected IP:PORT');

/** Settings of the controller binary. */
export const controllerSettingsSchema = z.strictObject({
  hostId: z.string().min(1),
  ip: z.string(),
  /** Port of /healthz, /readyz and /metrics. */
  port: z.number().int().min(0).max(65_535),
  /** Tables, object store, host list and weight store. */
  platform: address,
  platformTimeoutMs: z.number().int().positive().default(2_000),
  /** Peer server of the router on this host, which knows the withdrawals. */
  routerPeerAddress: address,
  engineTimeoutMs: z.number().int().positive().default(1_000),
  /** An order that is not answered by then is abandoned. */
  orderTimeoutMs: z.number().int().positive().default(2_000),
  /** Longest time an abandoned order may still take effect at an engine. */
  orderLingerMs: z.number().int().nonnegative().default(3_000),
  leaseTermMs: z.number().int().min(5_000).default(10_000),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
});

export type ControllerSettings = z.infer<typeof controllerSettingsSchema>;
