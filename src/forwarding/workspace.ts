/** A workspace of the operator's configuration. */
export type Workspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Goes before the route's priority where set. */
	readonly priority: number | undefined;
	/** Whether kept context of this workspace is shared with no other. */
	readonly isIsolated: boolean;
};
