/** The newest weight version that the operator has named for a model. */
export type NamedWeights = {
	readonly model: string;
	readonly version: number;
	/** Store's revision of the naming. */
	readonly revision: number;
	/** When this host learned of it, in milliseconds of a clock that counts suspensions. */
	readonly knownAt: number;
	/** From when this host counts its use of older context; see `dateNaming`. */
	readonly datedAt: number;
};
