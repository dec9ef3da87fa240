import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';

/** Time for the load balancer to remove a draining host, which it does after two readiness checks a second apart. */
const balancerRemovalMs = 2500;
/** Part of the grace period reserved for shutting down. */
const shutdownMarginMs = 400;

/** The server for callers, as far as a drain needs it. */
type DrainedServer = {
	readonly drain: (acceptAllUntil: number, stopAt: number) => void;
	readonly waitUntilIdle: () => Promise<void>;
	readonly underWay: () => number;
	readonly closeIdleConnections: () => void;
};

/**
Drains a host that has just become unready: accepts requests until the balancer has removed it, then waits until those in flight have ended.

@param graceMs - Time until the process is killed, in milliseconds.
@param now - Monotonic clock in milliseconds.
*/
export async function drainGateway(host: string, callers: DrainedServer, graceMs: number, now: () => number): Promise<void> {
	const startedAt = now();
	const limitMs = graceMs - shutdownMarginMs;
	const acceptAllMs = Math.min(balancerRemovalMs, limitMs);
	callers.drain(startedAt + acceptAllMs, startedAt + limitMs);
	log.info({host, underWay: callers.underWay()}, 'leaving');
	await sleep(acceptAllMs);
	callers.closeIdleConnections();
	await Promise.race([callers.waitUntilIdle(), sleep(limitMs - (now() - startedAt))]);
	log.info({host, underWay: callers.underWay()}, 'left');
}
