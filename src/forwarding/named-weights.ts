/** The newest weight version that the operator has named for a model. */
export type NamedWeights = {
	readonly model: string;
	readonly version: number;
};
