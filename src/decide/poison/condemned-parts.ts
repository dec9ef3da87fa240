/** Parts of prompts under which upstreams crash. A request is refused that holds all of them. */
export type CondemnedParts = {
	readonly parts: readonly string[];
	/** The only workspace whose requests crashed upstreams with these parts; `undefined` when there were several. */
	readonly workspace?: string | undefined;
	/** When the refusal ends, in milliseconds of the tracker's clock. */
	readonly until: number;
	/** Upstreams that crashed. */
	readonly upstreams: readonly string[];
};
