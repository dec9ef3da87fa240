import {estimateStartedAt} from '../decide/cold/estimate-started-at.js';
import {type Upstream} from '../forwarding/upstream.js';
import {type ColdGate} from './cold-gate.js';

/** An entry that comes back after this long counts as new. */
const maxRemovedMs = 60_000;
const maxRemoved = 2000;

/** Dependencies of the recorder. */
type ColdnessRecorderOptions = {
	/** Unix time in milliseconds. */
	readonly wallClock: () => number;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
};

/** Creates the functions that record what the list of upstreams says of their coldness. */
export function createColdnessRecorder({wallClock, now}: ColdnessRecorderOptions) {
	/** When entries were removed, by id, oldest first. */
	const removed = new Map<string, number>();

	const recordListed = (gate: ColdGate, {coldForMs, coldAskedAt, coldAnsweredAt}: Upstream): void => {
		if (coldForMs !== undefined) {
			gate.record({forMs: coldForMs, askedAt: coldAskedAt ?? now(), answeredAt: coldAnsweredAt ?? now()});
		}
	};

	return {
		recordListed,
		/** Records the entry of a start that this host did not know. */
		recordAdded(gate: ColdGate, upstream: Upstream): void {
			const {id, startedAt, coldForMs} = upstream;
			const at = now();
			const wasKnown = at - (removed.get(id) ?? Number.NEGATIVE_INFINITY) < maxRemovedMs;
			removed.delete(id);
			const estimated = estimateStartedAt({
				startedAt, wasKnown, wallClockMs: wallClock(), now: at,
			});
			if (coldForMs === undefined && estimated !== undefined) {
				gate.recordStart(estimated, at);
			}

			recordListed(gate, upstream);
		},
		recordRemoved(id: string): void {
			if (removed.size >= maxRemoved) {
				removed.delete(removed.keys().next().value!);
			}

			removed.set(id, now());
		},
	};
}
