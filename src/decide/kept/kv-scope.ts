/** Scope of KV cache. KV cache is reused only within the same scope. */
export type KvScope = {
	readonly model: string;
	/** Weight version that computed the KV cache. */
	readonly version: number;
	/** Set only for an isolated workspace, which shares its KV cache with no other. */
	readonly workspace: string | undefined;
};
