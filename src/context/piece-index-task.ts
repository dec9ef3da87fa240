import {type PeerHandlers} from '../peers/peer-handlers.js';
import {type Stop} from '../util/stop.js';
import {type PieceUpdate} from './piece-update.js';
import {type PieceRecord} from './piece-record.js';

/** The sharded index of prompt pieces: shards that this host owns, and calls to the owners of the others. */
export type PieceIndexTask = {
	/** Looks up pieces with one call per owner, one result per key; `undefined` for unknown pieces and those of unreachable owners. */
	readonly lookup: (service: string, keys: readonly string[], labels: readonly string[]) => Promise<ReadonlyArray<PieceRecord | undefined>>;
	/** Sends updates to the owners of their pieces. Lost updates of stored blocks are recovered by the periodic store listings. */
	readonly add: (updates: readonly PieceUpdate[]) => void;
	/** Asks the owner of `label` to free blocks of `store` with a retention score below `maxScore`; returns how many were freed. */
	readonly evict: (service: string, store: string, label: string, maxScore: number) => Promise<number>;
	/** Returns the tag under which a store lists a piece with this label. */
	readonly computeTag: (label: string) => number;
	readonly handlers: Pick<PeerHandlers, 'context.lookup' | 'context.add' | 'context.evict'>;
	readonly stop: Stop;
};
