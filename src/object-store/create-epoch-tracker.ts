import {log} from '../observe/log.js';
import {type EpochTracker} from './epoch-tracker.js';
import {OlderEpochError} from './older-epoch-error.js';

/** A larger step than this, once an epoch is known, is taken for a corrupt response. */
const maxStep = 1000;

/** Creates the tracker. It starts at epoch 0, which is also that of a platform whose responses state none. */
export function createEpochTracker(now: () => number): EpochTracker {
	let current: number | undefined;
	let since = now();
	let end = new AbortController();

	const advanceTo = (epoch: number): void => {
		if (current !== undefined) {
			log.warn({epoch, before: current}, 'store came back from an older copy');
		}

		current = epoch;
		since = now();
		const ended = end;
		end = new AbortController();
		ended.abort();
	};

	return {
		record(epoch) {
			if (epoch === undefined || epoch === current) {
				return current ?? 0;
			}

			if (current !== undefined && epoch > current + maxStep) {
				log.warn({epoch, current}, 'epoch of a store response is implausible, ignored');
				return current;
			}

			if (current !== undefined && epoch < current) {
				throw new OlderEpochError(epoch, current);
			}

			advanceTo(epoch);
			return epoch;
		},
		current: () => current ?? 0,
		known: () => ({number: current ?? 0, since}),
		endOfCurrent: () => end.signal,
	};
}
