import { Counter, Gauge, Histogram, Registry } from 'prom-client';

export interface Metrics {
  readonly registry: Registry;
  readonly counter: <L extends string>(
    name: string,
    help: string,
    labelNames?: readonly L[],
  ) => Counter<L>;
  readonly gauge: <L extends string>(
    name: string,
    help: string,
    labelNames?: readonly L[],
  ) => Gauge<L>;
  readonly histogram: <L extends string>(
    name: string,
    help: string,
    buckets: readonly number[],
    labelNames?: readonly L[],
  ) => Histogram<L>;
  /** Returns all metrics in the Prometheus text format. */
  readonly text: () => Promise<string>;
  readonly contentType: string;
}

/** Creates a registry apart from prom-client's global one, with the process's memory and CPU time. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const memory: Gauge = new Gauge({
    name: 'process_resident_memory_bytes',
    help: 'Resident memory of the process in bytes',
    registers: [registry],
    collect: () => {
      memory.set(process.memoryUsage.rss());
    },
  });
  const cpu: Gauge = new Gauge({
    name: 'process_cpu_seconds_total',
    help: 'CPU time of the process in seconds',
    registers: [registry],
    collect: () => {
      const { user, system } = process.cpuUsage();
      cpu.set((user + system) / 1e6);
    },
  });
  const registers = [registry];
  return {
    registry,
    counter: (name, help, labelNames = []) => new Counter({ name, help, labelNames, registers }),
    gauge: (name, help, labelNames = []) => new Gauge({ name, help, labelNames, registers }),
    histogram: (name, help, buckets, labelNames = []) =>
      new Histogram({ name, help, buckets: [...buckets], labelNames, registers }),
    text: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
