/** A change of what a store of kept context holds. */
export type KvEvent = {
	readonly isAdded: boolean;
	readonly scope: string;
	readonly part: string;
	readonly tokens: number;
};
