/** The weight version that the operator wants engines to serve for a model. */
export type DesiredWeights = {
	readonly model: string;
	readonly version: number;
	/** Sum of the desired versions of all models when this host received this one; a host that reports as much has received it too. */
	readonly contentVersion: number;
	/**
	From when this host treats KV cache of older versions as stale, in milliseconds of the suspend-aware clock; `-Infinity` when they may have
	been superseded long ago. See `estimateSupersededAt`. For how long engines have been behind is another question, see `WeightAges`.
	*/
	readonly supersededAt: number;
};
