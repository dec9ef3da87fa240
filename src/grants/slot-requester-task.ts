import {type Stop} from '../util/stop.js';
import {type AcquireOptions} from './acquire-options.js';
import {type Grant} from './grant.js';

/** Asks owners of engines for slots and keeps the granted ones renewed. */
export type SlotRequesterTask = {
	/**
	Waits for the first grant of the best engines; the others are withdrawn before any work starts.
	@throws {Refusal} When no candidate grants before the deadline.
	*/
	readonly acquire: (options: AcquireOptions) => Promise<Grant>;
	/** Reports running grants to new owners and asks anew where an owner changed. */
	readonly onOwnersChange: () => void;
	readonly running: () => number;
	readonly stop: Stop;
};
