/** A part added to or removed from a KV cache store. */
export type KvEvent = {
	readonly isAdded: boolean;
	/** Scope under which the part may be reused. */
	readonly scope: string;
	readonly part: string;
	readonly tokens: number;
};
