/** An order that brings an engine nearer to its wanted state. */
export type PlannedOrder = {
	readonly engine: string;
	readonly kind: 'load' | 'unload';
	/** `model@version`. */
	readonly what: string;
};
