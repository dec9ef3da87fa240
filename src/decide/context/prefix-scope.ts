/** What separates kept context. Pieces of different scopes never share a key. */
export type PrefixScope = {
	readonly workspace: string;
	readonly service: string;
	readonly model: string;
	readonly adapter: string;
	readonly version: string;
};
