import {type KnownEpoch} from './known-epoch.js';

/**
Tracks the epoch of the platform's store: how often it has returned from an older copy of its data. Revisions of different epochs
can't be compared.
*/
export type EpochTracker = {
	/**
	Records the epoch that a response states; `undefined` when it states none, or none that is valid.

	@returns The epoch of the response; one that states none counts as of the newest epoch.
	@throws {OlderEpochError} When the response is of an older epoch than one seen before.
	*/
	readonly record: (epoch: number | undefined) => number;
	/** Returns the newest epoch seen; 0 before the first one. */
	readonly current: () => number;
	readonly known: () => KnownEpoch;
	/** Returns the signal that is aborted when a newer epoch is seen. */
	readonly endOfCurrent: () => AbortSignal;
};
