import {type PeerHandlers} from '../peers/peer-handlers.js';
import {type Stop} from '../util/stop.js';

/** The queues of the engines that this host owns. */
export type EngineOwnerTask = {
	readonly handlers: Pick<PeerHandlers, 'grant.ask' | 'grant.withdraw' | 'grant.release' | 'grant.renew'>;
	/** Opens and closes queues after a change of owners, configuration or marks. */
	readonly reconcile: () => void;
	/** Drops everything held for others after a freeze. */
	readonly reset: () => void;
	readonly states: () => ReadonlyArray<{readonly engine: string; readonly running: number; readonly waiting: number; readonly leaving: boolean}>;
	readonly stop: Stop;
};
