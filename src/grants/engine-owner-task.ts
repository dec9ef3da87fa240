import {type PeerHandlers} from '../peers/peer-handlers.js';
import {type Stop} from '../util/stop.js';

/** Queues slot requests for the engines that this host owns. */
export type EngineOwnerTask = {
	readonly handlers: Pick<PeerHandlers, 'grant.ask' | 'grant.withdraw' | 'grant.release' | 'grant.renew'>;
	/** Opens and closes queues after a change of owners, configuration or leaving marks. */
	readonly reconcile: () => void;
	/** Closes all queues and opens new ones after a long pause of the process, since the grants that they held are no longer valid. */
	readonly reset: () => void;
	/** Returns the state of each owned engine's queue. */
	readonly states: () => ReadonlyArray<{readonly engine: string; readonly running: number; readonly waiting: number; readonly leaving: boolean}>;
	readonly stop: Stop;
};
