/** What a host gives to the process; undefined for what is not known. */
export interface HostSize {
  readonly memoryMb?: number | undefined;
  readonly maxFds?: number | undefined;
}

export interface HostLimits {
  /** Bytes held for callers and backend servers together. */
  readonly heldMaxBytes: number;
  /** Connections of callers; undefined for no limit by descriptors. */
  readonly callerConnectionsMax: number | undefined;
}

/** Memory of the smallest host that routers run on. */
const DEFAULT_MEMORY_MB = 210;
/**
 * Held bytes as a part of the memory. A router in front of 84 engines needs 80 MB before it holds any, and
 * memory that is free but not collected yet may take as much as what is held.
 */
const HELD_MEMORY_RATIO = 0.125;
const BYTES_PER_MB = 1_048_576;
/** Descriptors that a host reserves for files. */
const FILE_FDS = 200;
/** Store, peers, readiness, metrics and the sockets that wait for connections. */
const OWN_FDS = 60;
/** Each request of a caller may need a connection to a server. */
const CALLER_FDS_RATIO = 0.5;

/** A wrong size must not refuse everything: two bodies of 4 MB and the reserve for small ones always fit. */
const HELD_MIN_BYTES = 12_582_912;
const CALLER_CONNECTIONS_MIN = 64;

/** Derives the limits of a router from the size of its host. */
export function hostLimits({ memoryMb = DEFAULT_MEMORY_MB, maxFds }: HostSize): HostLimits {
  return {
    heldMaxBytes: Math.max(HELD_MIN_BYTES, Math.floor(memoryMb * HELD_MEMORY_RATIO * BYTES_PER_MB)),
    callerConnectionsMax: maxFds === undefined ? undefined : callerConnectionsMax(maxFds),
  };
}

function callerConnectionsMax(maxFds: number): number {
  const sharedFds = maxFds - FILE_FDS - OWN_FDS;
  return Math.max(CALLER_CONNECTIONS_MIN, Math.floor(sharedFds * CALLER_FDS_RATIO));
}
