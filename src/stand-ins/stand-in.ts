import {type Stop} from '../util/stop.js';

/** Running stand-in for an external system. */
export type StandIn = {
	/** Base URL. */
	readonly url: string;
	readonly stop: Stop;
};
