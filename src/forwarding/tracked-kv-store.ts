import {type createAbandonedSaveDetector} from '../decide/kept/create-abandoned-save-detector.js';
import {type PendingSaves} from '../decide/kept/pending-saves.js';
import {type KvStore} from './kv-store.js';

/** A tracked KV cache store and its polling state. */
export type TrackedKvStore = {
	readonly kept: KvStore;
	readonly pendingSaves: PendingSaves;
	readonly findAbandonedSaves: ReturnType<typeof createAbandonedSaveDetector>;
	lastUpdateAt: number;
	lastListedAt: number;
	/** Whether the last listing had unfinished saves, or a recorded save was not seen to end since. */
	hasUnfinishedSaves: boolean;
	isAnswering: boolean;
	isPolling: boolean;
	/** When the next poll is due. */
	nextPollAt: number;
};
