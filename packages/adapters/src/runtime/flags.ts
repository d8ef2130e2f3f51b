import { setFlagsFromString } from 'node:v8';

// Compiles WebAssembly with the baseline compiler only. This saves about 10 MB per process, without
// a loss in the `relay` measurement (docs/memory.md). Presumably the optimizing compiler retains
// memory for undici's HTTP parser.
setFlagsFromString('--liftoff-only');
