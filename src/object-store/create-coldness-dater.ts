import {type Upstream} from '../forwarding/upstream.js';
import {type Clocks} from '../util/clocks.js';
import {type StoredObject} from './stored-object.js';

/** Readings of more entries are forgotten, oldest first. */
const maxReadings = 4000;

/** When the entry of an upstream was read. */
type Reading = Pick<StoredObject, 'epoch' | 'revision'> & Pick<Upstream, 'coldForMs' | 'coldAskedAt' | 'coldAnsweredAt'>;

/**
Creates the function that adds to an upstream when its entry was asked for and received, where the entry says for how long the upstream is cold.
An entry that is read again unchanged keeps the times of the first reading: what it says has been counting down since.
*/
export function createColdnessDater({suspendAware, monotonic}: Clocks) {
	const readings = new Map<string, Reading>();

	return (upstream: Upstream, {epoch, revision}: StoredObject, confirmedAt: number | undefined): Upstream => {
		const {id, coldForMs} = upstream;
		if (coldForMs === undefined) {
			readings.delete(id);
			return upstream;
		}

		const before = readings.get(id);
		if (before?.epoch === epoch && before.revision === revision && before.coldForMs === coldForMs) {
			return {...upstream, coldAskedAt: before.coldAskedAt!, coldAnsweredAt: before.coldAnsweredAt!};
		}

		const at = monotonic();
		// The store answers in order: the entry was asked for after its response before this one.
		const ageMs = confirmedAt !== undefined && Number.isFinite(confirmedAt) ? Math.max(0, suspendAware() - confirmedAt) : Number.POSITIVE_INFINITY;
		const times = {coldAskedAt: at - ageMs, coldAnsweredAt: at};
		readings.delete(id);
		if (readings.size >= maxReadings) {
			readings.delete(readings.keys().next().value!);
		}

		readings.set(id, {
			epoch, revision, coldForMs, ...times,
		});
		return {...upstream, ...times};
	};
}
