/** The weights with which an upstream is to run a request. */
export type PlacedWeights = {
	readonly version: number;
	/** Time since newer weights became the desired ones, in milliseconds; `undefined` while there are none. */
	readonly staleForMs: number | undefined;
};
