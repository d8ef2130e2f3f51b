/** The platform's rate-limited store of model weights. */
export interface WeightStore {
  /** Size of a version's weights and the current rate of the store, to estimate the loading time. */
  describe(
    model: string,
    version: string,
  ): Promise<
    | { readonly kind: 'ok'; readonly sizeBytes: number; readonly bytesPerSec: number }
    | { readonly kind: 'absent' }
    | { readonly kind: 'unavailable'; readonly message: string }
  >;
}
