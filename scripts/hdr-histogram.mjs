// Replaces the index of hdr-histogram-js in bundles: that index also loads the code for encoded
// histograms and histogram logs with a compression library, which no program uses.
export { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';
