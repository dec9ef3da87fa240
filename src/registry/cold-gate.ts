import {type createColdness} from '../decide/cold/create-coldness.js';

/** What keeps this host from sending more to a cold upstream than it may. Times are in milliseconds of the monotonic clock. */
export type ColdGate = Omit<ReturnType<typeof createColdness>, 'forMs'> & {
	/** Returns how much longer the upstream is taken to be cold; 0 for a warm one, and for a service without a limit on cold upstreams. */
	readonly forMs: (now: number) => number;
	/** Requests a second that the upstream tolerates from all hosts together while it is cold; `undefined` while it is warm. */
	readonly perS: (now: number) => number | undefined;
	/** Records a permit, which holds for a short time. */
	readonly grant: (now: number) => void;
	/** Returns whether a request may be sent now; takes a permit if the upstream is cold. */
	readonly take: (now: number) => boolean;
	/** Closes the upstream to this host, while it is cold. */
	readonly closeUntil: (at: number) => void;
	readonly closedForMs: (now: number) => number;
};
