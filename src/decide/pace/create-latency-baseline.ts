/** Step of the estimate with each answer. */
const step = 0.03;
const minRatio = 0.05;
const maxRatio = 50;

/** How long answers of warm upstreams of a service take. */
type LatencyBaseline = {
	/** Records the time of an answer relative to its prediction. */
	readonly record: (ratio: number) => void;
	/** Returns the median ratio. */
	readonly median: () => number;
};

/**
Creates the estimate of the median time of a service's answers, relative to their predictions. Load pattern: single slow answers, which
would move a mean; predictions of a service whose requests are slower or faster than the latency model assumes.
*/
export function createLatencyBaseline(): LatencyBaseline {
	let estimate = 1;
	return {
		record(ratio) {
			estimate = Math.min(maxRatio, Math.max(minRatio, estimate * (ratio > estimate ? 1 + step : 1 / (1 + step))));
		},
		median: () => estimate,
	};
}
