import { setFlagsFromString } from 'node:v8';

// Each process was about 10 MB smaller with this flag and the `relay` measurement showed no loss
// (docs/memory.md). Presumably the optimizing compiler keeps what it needs for undici's parser.
setFlagsFromString('--liftoff-only');
