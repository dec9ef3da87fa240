/** Scope of KV cache. KV cache is reused only within the same scope. */
export type KvScope = {
	readonly model: string;
	/** Version of the weights with which the KV cache was computed. */
	readonly version: number;
	/** Set only for an isolated workspace, which shares its KV cache with no other. */
	readonly workspace: string | undefined;
};
