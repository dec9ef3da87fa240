/** An order to an engine to load or unload a model version. */
export type PlannedOrder = {
	readonly engine: string;
	readonly kind: 'load' | 'unload';
	/** The model version, as `model@version`. */
	readonly what: string;
};
