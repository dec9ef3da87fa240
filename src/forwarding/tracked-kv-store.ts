import {type createAbandonedSaveDetector} from '../decide/kept/create-abandoned-save-detector.js';
import {type PendingSaves} from '../decide/kept/pending-saves.js';
import {type KvStore} from './kv-store.js';

/** A store of kept context that is followed, and what has been seen of it. */
export type TrackedKvStore = {
	readonly kept: KvStore;
	readonly pendingSaves: PendingSaves;
	readonly findAbandonedSaves: ReturnType<typeof createAbandonedSaveDetector>;
	lastUpdateAt: number;
	lastListedAt: number;
	/** Whether a save was not seen to end. */
	hasUnfinishedSaves: boolean;
	isAnswering: boolean;
	isPolling: boolean;
	/** When the next poll is due. */
	nextPollAt: number;
};
