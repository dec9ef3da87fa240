/** A part of prompts that was in flight at crashes of upstreams since a request with it completed last. */
export type PartSuspicion = {
	readonly part: string;
	/** The crashes that count, by upstream and start. */
	readonly keys: Set<string>;
	lastCountedAt: number;
	/** Other parts that all requests with this part had which were in flight at these crashes. */
	companions: ReadonlySet<string>;
	readonly workspaces: Set<string>;
};
