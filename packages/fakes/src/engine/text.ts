import type { Hash32 } from '@mimosamill/core';

const VOCABULARY =
  'clamp the rib and wait until glue is firm then check joint one two three four warm dry thin even press hold turn lift paper frame silk bamboo wire line knot trim sand coat seal lamp base ring edge fold crease mark cut fit test rest mend gold lacquer grain shard piece note dust'.split(
    ' ',
  );

/** All inputs that determine a generated text. */
export interface GenerationInputs {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly prompt: string;
  readonly seed: number;
}

/**
 * Text of the token at an index. It depends on all inputs, so a token from another prompt, version
 * or index differs from the expected text with high probability.
 */
export function tokenText(inputs: GenerationInputs, index: number, hash: Hash32): string {
  const key = `${inputs.model}/${inputs.version}/${inputs.adapter}/${inputs.seed}/${inputs.prompt}`;
  const word = VOCABULARY[hash(key, index + 1) % VOCABULARY.length] ?? '';
  return index === 0 ? word : ` ${word}`;
}

/** Texts of the first `length` tokens, as an uninterrupted generation yields them. */
export function expectedTokenTexts(
  inputs: GenerationInputs,
  length: number,
  hash: Hash32,
): string[] {
  return Array.from({ length }, (_, index) => tokenText(inputs, index, hash));
}

/** Splits a prompt into tokens: here words, where real engines use subwords. */
export function tokenizePrompt(prompt: string): string[] {
  return prompt.split(/\s+/u).filter((word) => word !== '');
}
