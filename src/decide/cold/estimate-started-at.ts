/** What is known of a start whose entry does not say whether the upstream is cold. Times are in milliseconds. */
type Start = {
	/** Unix time of the start; `undefined` where unknown. */
	readonly startedAt: number | undefined;
	/** Whether this host knew another entry under the id, and so has seen the upstream end. */
	readonly wasKnown: boolean;
	/** Unix time. */
	readonly wallClockMs: number;
	/** Monotonic clock. */
	readonly now: number;
};

/**
Returns when an upstream started by the monotonic clock, as late as it may be; `undefined` where nothing shows that it did of late. Fault pattern:
an upstream that starts again under its id while the list says nothing of its coldness. Clocks of machines differ: a start in the future is one
just now.
*/
export function estimateStartedAt({startedAt, wasKnown, wallClockMs, now}: Start): number | undefined {
	if (wasKnown) {
		return now;
	}

	return startedAt === undefined ? undefined : now - Math.max(0, wallClockMs - startedAt);
}
