import {type KvEventBatch} from './kv-event-batch.js';
import {type KvEventCursor} from './kv-event-cursor.js';
import {type KvStoreUpdate} from './kv-store-update.js';
import {type Service} from './service.js';
import {type KvStore} from './kv-store.js';

/** Follows the stores of kept context. */
export type KvStoreTracker = {
	/** Takes the stores of the configuration in force. */
	readonly updateServices: (services: readonly Service[]) => void;
	readonly stores: () => readonly KvStore[];
	/** Whether this host is the one that polls a store. */
	readonly isPoller: (store: string) => boolean;
	readonly applyUpdate: (update: KvStoreUpdate) => void;
	/** What this host knows of a store, from what another one knows on where that is possible. */
	readonly listEvents: (store: string, known?: KvEventCursor) => {readonly news: KvEventBatch | null; readonly isWhole: boolean};
	/** Notes that a part is being saved. */
	readonly recordSave: (store: string, scope: string, part: string, tokens: number) => void;
	readonly isBeingSaved: (scope: string, part: string) => boolean;
	readonly stop: () => void;
};
