import {type Upstream} from '../forwarding/upstream.js';
import {type LinkLoss} from './link-loss.js';

/** A request under way at an upstream. */
type LinkUse = {
	/** Records that bytes of the upstream have arrived. */
	readonly recordContact: () => void;
	/** Records that the request has ended. */
	readonly end: () => void;
};

/** The links from this host to the upstreams, as far as this host can tell whether they work. */
export type UpstreamLinks = {
	/** Adds an upstream; `onSilent` is called whenever its link is found silent. */
	readonly add: (upstream: Upstream, onSilent: () => void) => void;
	readonly remove: (id: string) => void;
	/** Records that a request is sent to an upstream. */
	readonly use: (id: string) => LinkUse;
	/** Records that no connection to an upstream could be opened. */
	readonly recordConnectFailure: (id: string, loss: LinkLoss) => void;
	/** Records that a connection broke before any byte of a response; the link is checked soon. */
	readonly recordBroken: (id: string) => void;
	/**
	Returns whether requests can be sent to an upstream.

	@param hasIdleConnection - Whether an open connection to it is idle.
	*/
	readonly isReachable: (id: string, hasIdleConnection: boolean) => boolean;
	/** Probes some links that are in doubt since others are lost; returns whether all still seem lost. */
	readonly confirmCutOff: () => Promise<boolean>;
	/**
	Checks a link that has carried nothing for a while, before a request is sent that can't be repeated.

	@returns Whether the upstream responds; at once where bytes have arrived recently.
	*/
	readonly verify: (id: string) => Promise<boolean>;
	readonly stop: () => void;
};
