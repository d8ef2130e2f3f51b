import * as z from 'zod';

const address = z.string().regex(/^\S+:\d+$/, 'expected IP:PORT');

/** Settings of the controller binary. */
export const controllerSettingsSchema = z.strictObject({
  hostId: z.string().min(1),
  ip: z.string(),
  /** Port of /healthz, /readyz and /metrics. */
  port: z.number().int().min(0).max(65_535),
  /** Address of the tables, the object store, the host list and the weight store. */
  platform: address,
  platformTimeoutMs: z.number().int().positive().default(2_000),
  /** Peer server of the router on this host, from which the list of withdrawn versions is read. */
  routerPeerAddress: address,
  engineTimeoutMs: z.number().int().positive().default(1_000),
  /** Time after which the connection of an unanswered order is closed. */
  orderTimeoutMs: z.number().int().positive().default(2_000),
  /** Longest time after which an order can still take effect once its connection is closed. */
  orderLingerMs: z.number().int().nonnegative().default(3_000),
  /** A lease that is not renewed for this time may be taken over by another controller. */
  leaseTermMs: z.number().int().min(5_000).default(10_000),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
});

export type ControllerSettings = z.infer<typeof controllerSettingsSchema>;
