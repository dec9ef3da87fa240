/** How long callers wait for responses, by route. Times are in milliseconds. */
type LongestWaits = {
	/** Records what is known of a request's wait; returns the longest wait known of its route. */
	readonly extend: (route: string, ms: number) => number;
};

/** Creates the record. A caller takes its stream up within the time that it waits, so that no stream of a route is older than the longest wait. */
export function createLongestWaits(): LongestWaits {
	const longest = new Map<string, number>();
	return {
		extend(route, ms) {
			const extended = Math.max(ms, longest.get(route) ?? 0);
			longest.set(route, extended);
			return extended;
		},
	};
}
