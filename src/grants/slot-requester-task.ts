import {type Stop} from '../util/stop.js';
import {type AcquireOptions} from './acquire-options.js';
import {type Grant} from './grant.js';

/** Requests slots from the owners of engines and renews the granted ones. */
export type SlotRequesterTask = {
	/**
	Requests slots of the best candidates, several at a time, and resolves with the first grant; the other requests of the group
	are withdrawn before any work starts.
	@throws {Refusal} When no candidate grants before the deadline.
	*/
	readonly acquire: (options: AcquireOptions) => Promise<Grant>;
	/** Reports active grants to new owners and repeats pending requests whose owner changed. */
	readonly onOwnersChange: () => void;
	/** Returns the number of active grants. */
	readonly running: () => number;
	readonly stop: Stop;
};
