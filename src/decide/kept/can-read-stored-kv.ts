import {staleReadLimits} from './stale-read-limits.js';

/** What a host knows when it plans a fetch from a store. Times are in milliseconds of a clock that counts suspensions. */
type ReadState = {
	/** When the host learned of newer weights than the scope's; `undefined` when it knows none. */
	readonly supersededAt: number | undefined;
	/** When the newest weights were last confirmed by the platform's store, directly or through a peer. */
	readonly confirmedAt: number | undefined;
};

/** Says whether stored context of a scope may be read; the rule that `canFreeStaleKv` rests on. */
export function canReadStoredKv({supersededAt, confirmedAt}: ReadState, now: number): boolean {
	const isConfirmed = confirmedAt !== undefined && now - confirmedAt < staleReadLimits.confirmationMaxAgeMs;
	const isCurrent = supersededAt === undefined || now - supersededAt < staleReadLimits.staleReadMs;
	return isConfirmed && isCurrent;
}
