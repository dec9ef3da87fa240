import {type KvEventBatch} from './kv-event-batch.js';
import {type KvEventCursor} from './kv-event-cursor.js';
import {type KvStoreUpdate} from './kv-store-update.js';
import {type Service} from './service.js';
import {type KvStore} from './kv-store.js';

/** Tracks the content of the KV cache stores. */
export type KvStoreTracker = {
	/** Sets the tracked stores from the services of the configuration in force. */
	readonly updateServices: (services: readonly Service[]) => void;
	readonly stores: () => readonly KvStore[];
	/** Whether this host polls a store for the other hosts. */
	readonly isPoller: (store: string) => boolean;
	/** Applies an update from the host that polls the store. */
	readonly applyUpdate: (update: KvStoreUpdate) => void;
	/**
	Returns the content of a store as known here: the events after `known` if they are still held, else all parts (`isWhole`);
	`null` when the content is not known here.
	*/
	readonly listEvents: (store: string, known?: KvEventCursor) => {readonly news: KvEventBatch | null; readonly isWhole: boolean};
	/** Records that a part is being saved to a store. */
	readonly recordSave: (store: string, scope: string, part: string, tokens: number) => void;
	/** Whether a recorded save of a part is still in progress at any store. */
	readonly isBeingSaved: (scope: string, part: string) => boolean;
	readonly stop: () => void;
};
