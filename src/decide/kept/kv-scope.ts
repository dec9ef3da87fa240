/** What kept context belongs to. Context is found only under the same scope. */
export type KvScope = {
	readonly model: string;
	/** Weight version that the context was made with. */
	readonly version: number;
	/** Set where the workspace shares its context with no other. */
	readonly workspace: string | undefined;
};
