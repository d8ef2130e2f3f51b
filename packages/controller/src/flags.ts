import { setFlagsFromString } from 'node:v8';

// The optimizing compiler takes about 10 MB to compile the WebAssembly HTTP parser of undici and
// keeps them; the baseline compiler's code showed no loss in the `relay` measurement.
setFlagsFromString('--liftoff-only');
