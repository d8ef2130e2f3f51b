/** Options every measurement takes. */
export interface MeasureOptions {
  readonly seed: number;
  /** Run longer than the default minute. */
  readonly isFull: boolean;
}

/** Results with units in their keys, printed as one JSON object. */
export type MeasureResult = Readonly<Record<string, unknown>>;

export interface Measurement {
  readonly name: string;
  /** One line for the listing. */
  readonly summary: string;
  readonly run: (options: MeasureOptions) => Promise<MeasureResult>;
}
