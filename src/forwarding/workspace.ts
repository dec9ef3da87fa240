/** A workspace of the operator's configuration. */
export type Workspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the route's priority when set. */
	readonly priority: number | undefined;
	/** Whether the KV cache of this workspace is shared with no other workspace. */
	readonly isIsolated: boolean;
};
