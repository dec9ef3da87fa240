import {type createAbandonedSaveDetector} from '../decide/kv-cache/create-abandoned-save-detector.js';
import {type PendingSaves} from '../decide/kv-cache/pending-saves.js';
import {type KvStore} from './kv-store.js';

/** A tracked KV cache store and its polling state. */
export type TrackedKvStore = {
	/** The store as other modules see it. */
	readonly kept: KvStore;
	/** Saves requested by this host that the store's events do not show yet. */
	readonly pendingSaves: PendingSaves;
	readonly findAbandonedSaves: ReturnType<typeof createAbandonedSaveDetector>;
	/** When an update of the store last arrived or a poll succeeded. */
	lastUpdateAt: number;
	/** When this host last listed the parts to find unfinished saves; initially the start of the tracking. */
	lastListedAt: number;
	/** Whether the last listing had unfinished saves, or a requested save has since been given up as lost. */
	hasUnfinishedSaves: boolean;
	/** Whether the last poll got a response. */
	isAnswering: boolean;
	/** Whether a poll is in flight. */
	isPolling: boolean;
	/** When the next poll is due. */
	nextPollAt: number;
};
