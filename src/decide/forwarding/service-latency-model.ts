import {type LatencyParameters} from './latency-parameters.js';

/** Learns how fast the upstreams of a service are. Times are in milliseconds. */
export type ServiceLatencyModel = {
	/** Returns the parameters for predictions, corrected by past prediction errors. */
	readonly parameters: () => LatencyParameters;
	/** Records a predicted time to the first byte and the observed one. */
	readonly recordFirstByte: (predictedMs: number, observedMs: number) => void;
	/** Records how long a request was at its upstream. */
	readonly recordResidence: (ms: number) => void;
};
