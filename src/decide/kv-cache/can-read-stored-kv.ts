import {staleReadLimits} from './stale-read-limits.js';

/** State of a host that plans a fetch from a KV store. Times are in milliseconds of the clock for the host's own rights (`Clocks`). */
type ReadState = {
	/** When weights newer than the scope's became the desired ones, by `estimateSupersededAt`; `undefined` when this host knows of none. */
	readonly supersededAt: number | undefined;
	/** When the newest weights were last confirmed by the platform's store, directly or through a peer. */
	readonly confirmedAt: number | undefined;
};

/** Returns whether stored KV cache of a scope may be read. `canFreeStaleKv` relies on this rule. */
export function canReadStoredKv({supersededAt, confirmedAt}: ReadState, now: number): boolean {
	const isConfirmed = confirmedAt !== undefined && now - confirmedAt < staleReadLimits.confirmationMaxAgeMs;
	const isCurrent = supersededAt === undefined || now - supersededAt < staleReadLimits.staleReadMs;
	return isConfirmed && isCurrent;
}
