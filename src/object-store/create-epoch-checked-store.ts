import {log} from '../observe/log.js';
import {type ObjectStore} from './object-store.js';
import {type EpochTracker} from './epoch-tracker.js';

/**
Wraps the client of the store so that watches and conditional writes hold only in the epoch of the position that they rest on: the store may
have given the same revision to something else since.
*/
export function createEpochCheckedStore(client: ObjectStore, epochs: EpochTracker): ObjectStore {
	return {
		...client,
		async watch(kind, from, waitMs, signal) {
			if (from.epoch !== epochs.current()) {
				return undefined;
			}

			const endOfEpoch = epochs.endOfCurrent();
			const result = await client.watch(kind, from, waitMs, signal ? AbortSignal.any([endOfEpoch, signal]) : endOfEpoch);
			return result?.epoch === from.epoch ? result : undefined;
		},
		async replace(kind, name, value, expected) {
			if (expected.epoch !== epochs.current()) {
				log.info({
					kind, name, readIn: expected.epoch, epoch: epochs.current(),
				}, 'write rests on an older epoch of the store, not sent');
				return undefined;
			}

			const written = await client.replace(kind, name, value, expected);
			if (written && written.epoch !== expected.epoch) {
				log.warn({
					kind, name, readIn: expected.epoch, epoch: written.epoch,
				}, 'store came back from an older copy during a write, which does not count');
				return undefined;
			}

			return written;
		},
	};
}
