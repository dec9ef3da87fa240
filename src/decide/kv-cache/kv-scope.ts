/** Scope of KV cache. KV cache is reused only within the same scope. */
export type KvScope = {
	readonly model: string;
	/** Version of the weights with which the KV cache was computed. */
	readonly version: number;
	/** Set only for an isolated workspace, which shares its KV cache with no other. */
	readonly workspace: string | undefined;
	/** Set only for the workspaces that share their KV cache, if others are isolated: identifies those that do not take part. */
	readonly group: string | undefined;
};
