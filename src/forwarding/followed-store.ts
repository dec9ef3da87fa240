import {type createAbandonedSaveDetector} from '../decide/kept/create-abandoned-save-detector.js';
import {type PendingSaves} from '../decide/kept/pending-saves.js';
import {type KeptStore} from './kept-store.js';

/** A store of kept context that is followed, and what has been seen of it. */
export type FollowedStore = {
	readonly kept: KeptStore;
	readonly saves: PendingSaves;
	readonly findBroken: ReturnType<typeof createAbandonedSaveDetector>;
	heardAt: number;
	listedAt: number;
	/** Whether a save was not seen to end. */
	hasUnfinished: boolean;
	isAnswering: boolean;
	isPolling: boolean;
	/** When the next poll is due. */
	nextAt: number;
};
