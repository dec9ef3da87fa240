import {type UpstreamAnnouncements} from '../announcements/upstream-announcements.js';
import {type UpstreamConnectionPool} from '../forwarding/upstream-connection-pool.js';
import {type Upstream} from '../forwarding/upstream.js';
import {type ColdGate} from './cold-gate.js';
import {type UpstreamContact} from './upstream-contact.js';

/** An upstream, its connections and this host's observations of it. */
export type UpstreamEntry = {
	upstream: Upstream;
	/** Connection pool of the upstream. */
	readonly link: UpstreamConnectionPool;
	/** Called whenever the link is found silent. */
	readonly silenceListeners: Set<() => void>;
	inFlight: number;
	/** Prompt tokens of requests without a response head, by priority. */
	readonly waitingTokens: Map<number, number>;
	/** KV cache memory of requests in flight, in tokens. */
	heldTokens: number;
	/** Start times of requests that wait for a response head. */
	readonly waiting: Set<{readonly since: number}>;
	/** When the last response head arrived. */
	lastAnswerAt: number;
	/** Until when the upstream gets no new requests. */
	avoidUntil: number;
	/** Moving average of failed requests, from 0 to 1. */
	failureShare: number;
	/** What it says of itself. */
	readonly announcements: UpstreamAnnouncements;
	/** What keeps requests back while it is cold. */
	readonly coldGate: ColdGate;
	readonly contact: UpstreamContact;
	/** Records that a connection was refused or broke, so that the upstream may have ended and may start again under its id. */
	readonly recordBroken: () => void;
	/** Start time that the upstream states where the list has another one, in Unix milliseconds; its software version is not known then. */
	unlistedStart: number | undefined;
	/** Whether the upstream is no longer registered; its connections close after the last request. */
	isGone: boolean;
};
