import {type createGatewayMetrics} from './create-gateway-metrics.js';
import {type DesiredWeights} from './desired-weights.js';
import {type Upstream} from './upstream.js';

const msPerS = 1000;

/** What the metrics of weights show. */
type WeightsState = {
	readonly weights: readonly DesiredWeights[];
	readonly upstreams: readonly Upstream[];
	/** Returns for how long a version has been the desired one, in milliseconds. */
	readonly getAgeMs: (weights: DesiredWeights) => number;
};

/** Sets the metrics that tell how old the desired weights are, and how many upstreams have older ones. */
export function recordWeightsMetrics({weightsAge, upstreamsBehind}: ReturnType<typeof createGatewayMetrics>, {weights, upstreams, getAgeMs}: WeightsState): void {
	for (const desired of weights) {
		const {model, version} = desired;
		weightsAge.set({model}, getAgeMs(desired) / msPerS);
		upstreamsBehind.set({model}, upstreams.filter(upstream => (upstream.weights.get(model) ?? version) < version).length);
	}
}
