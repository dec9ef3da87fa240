import {type SlotRequest} from './slot-request.js';
import {type GrantAction} from './grant-action.js';
import {type ActiveGrant} from './active-grant.js';

/** The decisions of an engine's owner about its slots. Times are in milliseconds. */
export type EngineQueue = {
	readonly ask: (request: SlotRequest, now: number) => readonly GrantAction[];
	readonly withdraw: (id: string, now: number) => readonly GrantAction[];
	readonly release: (id: string, tokens: number, now: number) => readonly GrantAction[];
	/** Renews grants of `host`; unknown ones are taken over from an earlier owner. */
	readonly renew: (host: string, grants: readonly ActiveGrant[], now: number) => readonly GrantAction[];
	/** Ends grants that were not renewed and requests whose deadline has come. */
	readonly tick: (now: number) => readonly GrantAction[];
	/** Drops what hosts that are gone held and asked for. */
	readonly dropUnavailableHosts: (isUp: (host: string) => boolean, now: number) => readonly GrantAction[];
	/** Time from which a waiting request can be granted without another event; `undefined` when none waits. */
	readonly nextGrantAt: (now: number) => number | undefined;
	readonly setSlots: (slots: number, now: number) => readonly GrantAction[];
	readonly setLeaving: (leaving: boolean, now: number) => readonly GrantAction[];
	/** Refuses everything that waits; this host is not the owner any more. */
	readonly close: (now: number) => readonly GrantAction[];
	/** Expected wait of a new request. */
	readonly waitMs: (now: number) => number;
	readonly state: () => {readonly running: number; readonly waiting: number; readonly leaving: boolean};
};
