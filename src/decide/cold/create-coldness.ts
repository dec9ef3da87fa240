import {type ColdStatement} from './cold-statement.js';

/** How long one start of an upstream is cold, as known to this host. Times are in milliseconds of the monotonic clock. */
type Coldness = {
	/** Records what a source says. */
	readonly record: (statement: ColdStatement) => void;
	/** Records when the upstream started, where no source says whether it is cold. */
	readonly recordStart: (startedAt: number, now: number) => void;
	/** Records that a connection was refused or broke, so that the upstream may have ended and may start again under its id. */
	readonly recordBroken: (now: number) => void;
	/** Records the head of a response to a request that was sent at `askedAt`. */
	readonly recordContact: (askedAt: number, now: number) => void;
	/**
	Returns how much longer the upstream is taken to be cold; 0 for a warm one.

	@param coldStartMs - How long an upstream of the service is cold after a start.
	*/
	readonly forMs: (now: number, coldStartMs: number) => number;
};

/**
Creates the record. Of two statements the later one holds; where it is unknown which is later, the one that lasts longer does. Load pattern: hosts
that all prefer an upstream which has just come back, since it is empty. Fault pattern: an upstream that starts again under its id, while this
host gets no news of the list. After a broken connection the upstream counts as cold until a source that was asked later says otherwise, or until
it has answered for as long as a start is cold.
*/
export function createColdness(): Coldness {
	let known: ColdStatement | undefined;
	let start: {readonly at: number; readonly recordedAt: number} | undefined;
	let brokenAt: number | undefined;
	/** When the first response arrived whose request was sent after `brokenAt`. */
	let backAt: number | undefined;

	const endOf = ({answeredAt, forMs}: ColdStatement): number => answeredAt + forMs;

	return {
		record(statement) {
			if (brokenAt !== undefined && statement.askedAt >= brokenAt) {
				brokenAt = undefined;
				backAt = undefined;
			}

			if (start && statement.askedAt >= start.recordedAt) {
				start = undefined;
			}

			if (!known || statement.askedAt >= known.answeredAt || (known.askedAt < statement.answeredAt && endOf(statement) > endOf(known))) {
				known = statement;
			}
		},
		recordStart(startedAt, now) {
			start = {at: startedAt, recordedAt: now};
		},
		recordBroken(now) {
			brokenAt = now;
			backAt = undefined;
		},
		recordContact(askedAt, now) {
			if (brokenAt !== undefined && askedAt >= brokenAt) {
				backAt ??= now;
			}
		},
		forMs(now, coldStartMs) {
			const statedMs = known ? endOf(known) - now : 0;
			const sinceStartMs = start ? start.at + coldStartMs - now : 0;
			const suspectedMs = brokenAt === undefined ? 0 : (backAt ?? now) + coldStartMs - now;
			return Math.max(0, statedMs, sinceStartMs, suspectedMs);
		},
	};
}
