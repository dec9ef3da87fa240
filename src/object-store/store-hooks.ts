import {type EpochTracker} from './epoch-tracker.js';
import {type StoreCall} from './store-call.js';

/** Functions that the client of the platform's store calls. */
export type StoreHooks = {
	/** Called before each call, for metrics. */
	readonly onCall: (call: StoreCall) => void;
	/** Called with the epoch that each response states. */
	readonly recordEpoch: EpochTracker['record'];
};
