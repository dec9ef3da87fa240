/** A call of the platform's store. */
export type StoreCall = {
	/** HTTP method. */
	readonly method: 'GET' | 'POST' | 'PUT';
	/** Kind of the objects. */
	readonly kind: string;
	/** What the call is for. */
	readonly operation: 'list' | 'watch' | 'read' | 'create' | 'replace';
};
