// Stands in for the index of hdr-histogram-js in the bundles: that index also loads the encoded
// and logged forms with a compression library, which no binary uses.
export { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';
