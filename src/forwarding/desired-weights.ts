/** The newest weight version that the operator has named for a model. */
export type DesiredWeights = {
	readonly model: string;
	readonly version: number;
	/** Store's revision of the naming. */
	readonly revision: number;
	/** When this host learned of it, in milliseconds of a clock that counts suspensions. */
	readonly learnedAt: number;
	/** From when this host counts its use of older context; see `estimateSupersededAt`. */
	readonly supersededAt: number;
};
