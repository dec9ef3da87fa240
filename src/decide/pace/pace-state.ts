/** Limit on the requests of all hosts in flight at one start of an upstream, in a form that hosts can merge in any order. */
export type PaceState = {
	/** Number of times that the limit has fallen, at any host. */
	readonly setbacks: number;
	/** Requests in flight. Equal to the upstream's slots where it is warm. */
	readonly limit: number;
};
