import {type Stop} from '../util/stop.js';

/** A running stand-in for an outside system. */
export type StandIn = {
	/** Base URL. */
	readonly url: string;
	readonly stop: Stop;
};
