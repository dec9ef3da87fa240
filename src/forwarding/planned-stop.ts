/** What a request has to know of a planned stop of this host. */
export type PlannedStop = {
	/** Whether a request that is begun now and may run until `endsAt`, in milliseconds of the monotonic clock, ends before the host stops. */
	readonly allows: (endsAt: number) => boolean;
	/** Aborted shortly before the host stops: whatever is under way is to be answered now. */
	readonly signal: AbortSignal;
};
