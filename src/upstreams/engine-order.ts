/** An order to load or unload a model version. */
export type EngineOrder = {
	readonly kind: 'load' | 'unload';
	/** `model@version`. */
	readonly what: string;
	/** Fencing token of the lease under which the order is sent. */
	readonly fencing: number;
};
