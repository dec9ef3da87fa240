/** Weight of the newest value in the moving average of the time to a response head. */
const headLatencyWeight = 0.05;
/** Mean head latency assumed before the first response of a service, in milliseconds. */
const initialHeadLatencyMs = 150;

/** Times from requests to the heads of their responses, in milliseconds. */
type HeadLatencies = {
	readonly record: (service: string, tookMs: number) => void;
	/** Returns the mean of a service. */
	readonly mean: (service: string) => number;
};

/** Creates the moving averages of the times to response heads, one for each service. */
export function createHeadLatencies(): HeadLatencies {
	const means = new Map<string, number>();
	const mean = (service: string): number => means.get(service) ?? initialHeadLatencyMs;

	return {
		record(service, tookMs) {
			means.set(service, mean(service) + (headLatencyWeight * (tookMs - mean(service))));
		},
		mean,
	};
}
