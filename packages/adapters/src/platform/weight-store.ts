/** The rate-limited store of model weights, as seen by whoever plans a load. */
export interface WeightStore {
  /** Size of a version's weights and the store's current rate, to plan a load's duration. */
  describe(
    model: string,
    version: string,
  ): Promise<
    | { readonly kind: 'ok'; readonly sizeBytes: number; readonly bytesPerSec: number }
    | { readonly kind: 'absent' }
    | { readonly kind: 'unavailable'; readonly message: string }
  >;
}
