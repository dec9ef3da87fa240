import {type LatencyParameters} from './latency-parameters.js';

/** What a host learns of how fast a service's upstreams are. Times are in milliseconds. */
export type ServiceLatencyModel = {
	/** Figures for predictions; the correction by past errors is in them. */
	readonly parameters: () => LatencyParameters;
	/** Notes a prediction and what came of it. */
	readonly recordFirstByte: (predictedMs: number, observedMs: number) => void;
	/** Notes how long a request stayed at its upstream. */
	readonly recordResidence: (ms: number) => void;
};
