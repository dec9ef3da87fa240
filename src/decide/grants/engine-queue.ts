import {type SlotRequest} from './slot-request.js';
import {type GrantAction} from './grant-action.js';
import {type ActiveGrant} from './active-grant.js';

/** The queue of requests for the slots of one engine, kept by the engine's owner. Times are in milliseconds. */
export type EngineQueue = {
	/** Queues a request for a slot, or refuses it: withdrawn before, engine leaving, queue full, or deadline can't be met. */
	readonly ask: (request: SlotRequest, now: number) => readonly GrantAction[];
	/** Refuses a waiting request, or ends its grant without charging for it. */
	readonly withdraw: (id: string, now: number) => readonly GrantAction[];
	/** Ends a grant whose request took `tokens` tokens of work. */
	readonly release: (id: string, tokens: number, now: number) => readonly GrantAction[];
	/** Extends the leases of grants held by `host`; adopts those that a previous owner of the engine granted. */
	readonly renew: (host: string, grants: readonly ActiveGrant[], now: number) => readonly GrantAction[];
	/** Ends grants whose lease has expired and refuses requests whose deadline has passed. */
	readonly tick: (now: number) => readonly GrantAction[];
	/** Ends the grants of hosts that are not up and refuses their waiting requests. */
	readonly dropUnavailableHosts: (isUp: (host: string) => boolean, now: number) => readonly GrantAction[];
	/** Earliest time at which `tick` may grant a waiting request; `undefined` when none waits or the engine is leaving. */
	readonly nextGrantAt: (now: number) => number | undefined;
	readonly setSlots: (slots: number, now: number) => readonly GrantAction[];
	/** While the engine is leaving, all requests are refused, also those that wait. */
	readonly setLeaving: (leaving: boolean, now: number) => readonly GrantAction[];
	/** Refuses all waiting requests, as this host no longer owns the engine. */
	readonly close: (now: number) => readonly GrantAction[];
	/** Returns the expected wait of a new request. */
	readonly waitMs: (now: number) => number;
	readonly state: () => {readonly running: number; readonly waiting: number; readonly leaving: boolean};
};
