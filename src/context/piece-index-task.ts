import {type PeerHandlers} from '../peers/peer-handlers.js';
import {type Stop} from '../util/stop.js';
import {type PieceUpdate} from './piece-update.js';
import {type PieceRecord} from './piece-record.js';

/** The directory of kept context: own slices, and calls to the owners of others. */
export type PieceIndexTask = {
	/** Looks pieces up, with one call an owner; unreachable owners give nothing. */
	readonly lookup: (service: string, keys: readonly string[], labels: readonly string[]) => Promise<ReadonlyArray<PieceRecord | undefined>>;
	/** Tells the owners of pieces; lost news is made up for by listings. */
	readonly add: (updates: readonly PieceUpdate[]) => void;
	/** Asks the owner of `label` to free blocks of less than `value`. */
	readonly evict: (service: string, store: string, label: string, maxScore: number) => Promise<number>;
	/** Tag under which a store lists a piece with this label. */
	readonly tagOf: (label: string) => number;
	readonly handlers: Pick<PeerHandlers, 'context.lookup' | 'context.add' | 'context.evict'>;
	readonly stop: Stop;
};
