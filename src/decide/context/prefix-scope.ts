/** Scope of cached prompt pieces. Pieces of different scopes never have the same key. */
export type PrefixScope = {
	readonly workspace: string;
	readonly service: string;
	readonly model: string;
	readonly adapter: string;
	readonly version: string;
};
