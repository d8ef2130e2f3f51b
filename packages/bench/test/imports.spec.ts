import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';

const PACKAGES = join(import.meta.dirname, '../..');

function sourcesOf(name: string): string[] {
  const folder = join(PACKAGES, name, 'src');
  const files = readdirSync(folder, { recursive: true, encoding: 'utf8' });
  return files.filter((file) => file.endsWith('.ts')).map((file) => join(folder, file));
}

function filesThatMention(names: readonly string[], words: RegExp): string[] {
  return names.flatMap(sourcesOf).filter((file) => words.test(readFileSync(file, 'utf8')));
}

describe('the product', () => {
  // Guards against product code that starts processes or threads, shares memory or uses io_uring.
  it('starts no process and no thread', () => {
    const packages = ['core', 'adapters', 'router', 'controller', 'admin'];
    const words = /node:(child_process|cluster|worker_threads)|SharedArrayBuffer|UV_USE_IO_URING/u;
    expect(packages.flatMap(sourcesOf).length).toBeGreaterThan(100);
    expect(filesThatMention(packages, words)).toEqual([]);
  });

  // Guards against core decisions that depend on I/O, clocks or randomness and cannot be replayed.
  it('keeps I/O, timers and clocks out of the core', () => {
    const words = /from 'node:|setTimeout|setInterval|Date\.now|Math\.random|performance\.now/u;
    expect(filesThatMention(['core'], words)).toEqual([]);
  });
});
