/** An upstream as it has registered itself. */
export type Upstream = {
	/** Names one start of the upstream; other upstreams may get its address later. */
	readonly id: string;
	readonly service: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly domain: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Start of the upstream in Unix milliseconds; tells two starts under one id apart. */
	readonly startedAt: number | undefined;
	/** Weight version of each model that the upstream has loaded. */
	readonly weights: ReadonlyMap<string, number>;
};
