import {keptTimes} from './kept-times.js';

/** What a host knows when it plans a fetch from a store. Times are in milliseconds of a clock that counts suspensions. */
type ReadFacts = {
	/** When the host learned of newer weights than the scope's; `undefined` when it knows none. */
	readonly newerKnownAt: number | undefined;
	/** When the newest weights were last confirmed by the platform's store, directly or through a peer. */
	readonly confirmedAt: number | undefined;
};

/** Says whether stored context of a scope may be read; the rule that `canFree` rests on. */
export function canReadScope({newerKnownAt, confirmedAt}: ReadFacts, now: number): boolean {
	const isConfirmed = confirmedAt !== undefined && now - confirmedAt < keptTimes.evidenceMs;
	const isCurrent = newerKnownAt === undefined || now - newerKnownAt < keptTimes.readersEndMs;
	return isConfirmed && isCurrent;
}
