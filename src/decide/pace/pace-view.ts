/** Limit on the requests of all hosts in flight at an upstream, as a placement sees it. */
export type PaceView = {
	readonly limit: number;
	/** Whether the limit is below the slots, since the upstream is not warm. */
	readonly isLimited: boolean;
};
