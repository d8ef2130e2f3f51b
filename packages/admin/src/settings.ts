import * as z from 'zod';

const address = z.string().regex(/^\S+:\d+$/, 'expected IP:PORT');

/** Settings of the admin binary. */
export const adminSettingsSchema = z.strictObject({
  ip: z.string(),
  port: z.number().int().min(0).max(65_535),
  /** Address of the tables, the object store, the host list and the weight store. */
  platform: address,
  platformTimeoutMs: z.number().int().positive().default(2_000),
  /** Peer server of the router on this host, which is asked for the revisions of all routers. */
  routerPeer: address,
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
  /** Created in the first revision; without effect once there is a configuration. */
  firstAdministrator: z
    .strictObject({
      team: z.string(),
      name: z.string(),
      keyHash: z
        .string()
        .regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 as 64 lower-case hexadecimal digits'),
    })
    .optional(),
});

export type AdminSettings = z.infer<typeof adminSettingsSchema>;
