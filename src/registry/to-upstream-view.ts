import {lowerPriorityShare} from '../decide/forwarding/lower-priority-share.js';
import {type UpstreamView} from '../decide/forwarding/upstream-view.js';
import {type UpstreamPaces} from '../pace/upstream-paces.js';
import {isUnresponsive} from './is-unresponsive.js';
import {type UpstreamEntry} from './upstream-entry.js';

/** The load that other hosts put on an upstream. */
type RemoteLoad = {
	readonly inFlight: number;
	readonly heldTokens: number;
	readonly waitingTokens: ReadonlyMap<number, number>;
};

/** What else a view rests on. */
type ViewOptions = {
	readonly others: RemoteLoad | undefined;
	/** Number of connections that this host may open now. */
	readonly connections: number;
	readonly isReachable: boolean;
	/** Mean time to a response head of the service, in milliseconds. */
	readonly meanHeadLatencyMs: number;
	/** Priority of the request that is to be placed. */
	readonly priority: number;
	readonly paces: Pick<UpstreamPaces, 'view'> | undefined;
};

/** Returns the state of an upstream for a request of a priority. */
export function toUpstreamView(entry: UpstreamEntry, now: number, {others, connections, isReachable, meanHeadLatencyMs, priority, paces}: ViewOptions): UpstreamView {
	let ahead = 0;
	let waiting = 0;
	for (const tokensOf of others ? [entry.waitingTokens, others.waitingTokens] : [entry.waitingTokens]) {
		for (const [ofPriority, tokens] of tokensOf) {
			waiting += tokens;
			ahead += ofPriority <= priority ? tokens : tokens * lowerPriorityShare;
		}
	}

	const inFlight = entry.inFlight + (others?.inFlight ?? 0);
	const [oldest] = entry.waiting;
	return {
		upstream: entry.upstream,
		inFlight,
		waitingTokens: ahead,
		isQueueing: waiting > 0,
		heldTokens: entry.heldTokens + (others?.heldTokens ?? 0),
		isUnresponsive: isUnresponsive(entry, meanHeadLatencyMs, now),
		isReachable,
		isEjected: now < entry.avoidUntil,
		failureShare: entry.failureShare,
		freeConnections: connections - entry.inFlight,
		requestsPerS: entry.announcements.limit.value(),
		...(entry.coldGate.forMs(now) > 0 && {isCold: true}),
		closedForMs: Math.max(entry.announcements.closedForMs(now), entry.coldGate.closedForMs(now)),
		pace: paces?.view(entry.upstream.id, {inFlight, waitingSince: oldest?.since, isReachable}),
	};
}
