import type { ServiceName } from '../ids';

/** How the prompts of a service divide into long and short ones. */
export interface PromptSplit {
  /** Prompts of more tokens are long. */
  readonly borderTokens: number;
}

/**
 * The sizes of the prompts that a service was sent lately. It answers a load in which long prompts hold
 * up short ones on the same engine.
 */
export interface PromptSizes {
  readonly onPrompt: (service: ServiceName, tokens: number) => void;
  /** Undefined while the prompts of the service are of about the same size. */
  readonly splitOf: (service: ServiceName) => PromptSplit | undefined;
}

/** Buckets grow by a fifth, which tells sizes apart well enough. */
const BUCKETS_PER_DOUBLING = 4;
const BUCKETS = BUCKETS_PER_DOUBLING * 24;
/** Each prompt takes this part away from what earlier ones count, so that borders follow demand. */
const DECAY_RATIO = 1 / 64;
/** Fewer prompts say too little of how sizes are distributed. */
const PROMPTS_MIN = 30;
/**
 * Prompts differ a lot if the largest tenth is this many times larger than the smallest tenth: the
 * tenths of prompts of one kind are about two times apart.
 */
const SPREAD_ON_RATIO = 2.6;
/** Lower than the ratio to begin with, so that the split does not come and go. */
const SPREAD_OFF_RATIO = 2.3;
const TAIL_PART = 0.1;

interface SizeHistogram {
  readonly prompts: number[];
  isSplit: boolean;
  seen: number;
}

export function createPromptSizes(): PromptSizes {
  const byService = new Map<ServiceName, SizeHistogram>();

  return {
    onPrompt: (service, tokens) => {
      if (!Number.isFinite(tokens) || tokens <= 0) return;
      const histogram = byService.get(service) ?? createHistogram();
      byService.set(service, histogram);
      const at = bucketOf(tokens);
      for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
        const kept = (histogram.prompts[bucket] ?? 0) * (1 - DECAY_RATIO);
        histogram.prompts[bucket] = bucket === at ? kept + 1 : kept;
      }
      histogram.seen += 1;
    },
    splitOf: (service) => {
      const histogram = byService.get(service);
      if (histogram === undefined || histogram.seen < PROMPTS_MIN) return undefined;
      const smallTokens = tokensAt(quantileOf(histogram.prompts, TAIL_PART));
      const largeTokens = tokensAt(quantileOf(histogram.prompts, 1 - TAIL_PART));
      const neededRatio = histogram.isSplit ? SPREAD_OFF_RATIO : SPREAD_ON_RATIO;
      histogram.isSplit = largeTokens / smallTokens >= neededRatio;
      if (!histogram.isSplit) return undefined;
      return { borderTokens: Math.sqrt(smallTokens * largeTokens) };
    },
  };
}

function createHistogram(): SizeHistogram {
  return { prompts: [], isSplit: false, seen: 0 };
}

function bucketOf(tokens: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKETS - 1, bucket);
}

/** Middle of a bucket's sizes. */
function tokensAt(bucket: number): number {
  return 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING);
}

/** Bucket up to which a part of the sum lies. */
function quantileOf(counts: readonly number[], part: number): number {
  const wanted = sumOf(counts) * part;
  let sum = 0;
  return counts.findIndex((count) => {
    sum += count;
    return sum >= wanted;
  });
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
