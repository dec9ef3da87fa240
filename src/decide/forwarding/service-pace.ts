import {type PlacementCosts} from './placement-costs.js';

/** What a host learns of how fast a service's upstreams are. Times are in milliseconds. */
export type ServicePace = {
	/** Figures for predictions; the correction by past errors is in them. */
	readonly costs: () => PlacementCosts;
	/** Notes a prediction and what came of it. */
	readonly noteFirstByte: (predictedMs: number, observedMs: number) => void;
	/** Notes how long a request stayed at its upstream. */
	readonly noteStay: (ms: number) => void;
};
