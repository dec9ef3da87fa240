import {log} from '../observe/log.js';
import {finishWork} from '../util/finish-work.js';
import {sleep} from '../util/sleep.js';

/** Time for the load balancer to remove a draining host, which it does after two readiness checks a second apart. */
const balancerRemovalMs = 2500;
/** Part of the grace period reserved for shutting down. */
const shutdownMarginMs = 400;
/** Time in which a stopping host stores the streams that it has begun; within what the drain leaves of the grace period. */
const maxStoreMs = 300;

/** The servers for requests, as far as a drain needs them. */
type DrainedServers = {
	readonly drain: (acceptAllUntil: number, stopAt: number) => void;
	readonly underWay: () => number;
	readonly closeIdleConnections: () => void;
};

/** The streams that a host has begun, as far as a drain needs them. */
type DrainedStreams = {
	readonly hasUnstored: () => boolean;
	readonly flush: (timeoutMs: number) => Promise<void>;
};

/** Options of `drainGateway`. */
type DrainOptions = {
	/** Name of the host. */
	readonly host: string;
	readonly servers: DrainedServers;
	readonly streams: DrainedStreams;
	/** Time until the process is killed, in milliseconds. */
	readonly graceMs: number;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
};

/**
Drains a host that has just become unready: accepts requests until the balancer has removed it, then waits until those in flight have ended and the
streams that it has begun are stored. The caller has to close its connections at once.
*/
export async function drainGateway({host, servers, streams, graceMs, now}: DrainOptions): Promise<void> {
	const startedAt = now();
	const limitMs = graceMs - shutdownMarginMs;
	const acceptAllMs = Math.min(balancerRemovalMs, limitMs);
	const endsAt = startedAt + limitMs;
	servers.drain(startedAt + acceptAllMs, endsAt);
	log.info({host, underWay: servers.underWay()}, 'leaving');
	await sleep(acceptAllMs);
	servers.closeIdleConnections();
	await finishWork({
		underWay: servers.underWay, hasUnstored: streams.hasUnstored, store: streams.flush, maxStoreMs, endsAt, now,
	});
	log.info({
		host, underWay: servers.underWay(), hasUnstored: streams.hasUnstored(), afterMs: Math.round(now() - startedAt),
	}, 'left');
}
