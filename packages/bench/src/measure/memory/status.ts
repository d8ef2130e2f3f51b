import { readFileSync } from 'node:fs';

/** Memory of one process in MB (1 MB = 1,000,000 bytes). */
export interface MemoryReading {
  readonly residentMb: number;
  readonly anonymousMb: number;
  readonly fileMb: number;
}

const BYTES_PER_KIB = 1_024;
const BYTES_PER_MB = 1e6;

/** Reads /proc/PID/status. */
export function readMemory(pid: number): MemoryReading {
  return parseProcStatus(readFileSync(`/proc/${pid}/status`, 'utf8'));
}

/** Throws if a field is missing, since a zero would pass for a small process. */
export function parseProcStatus(text: string): MemoryReading {
  const read = (field: string): number => {
    const match = new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(text);
    if (match === null) throw new Error(`/proc status has no field ${field}`);
    return (Number(match[1]) * BYTES_PER_KIB) / BYTES_PER_MB;
  };
  return { residentMb: read('VmRSS'), anonymousMb: read('RssAnon'), fileMb: read('RssFile') };
}
