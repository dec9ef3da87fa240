import {createFairQueue} from '../fairness/create-fair-queue.js';
import {type SlotRequest} from './slot-request.js';
import {type EngineQueue} from './engine-queue.js';
import {type GrantAction} from './grant-action.js';
import {type GrantRefusalReason} from './grant-refusal-reason.js';
import {type ActiveGrant} from './active-grant.js';

/** A grant expires this long after it was given or last renewed. */
const leaseMs = 10_000;
/** How long the ids of ended requests are kept; a message about one may arrive late by up to this time. */
const endedRetentionMs = leaseMs;
/** Initial value of the average run time of a request. */
const initialRunMs = 500;
/** Weight of the newest run time in the exponential moving average. */
const runSmoothingFactor = 0.1;
/** Random addition to the retry delay, at most this share of it. */
const retryAfterJitter = 0.5;
/** The next request is granted this long before the engine has finished the prefill of those granted before. */
const grantLeadMs = 30;

/** Options of an engine's queue. */
type EngineQueueOptions = {
	readonly slots: number;
	/** Maximum number of waiting requests. */
	readonly queueLimit: number;
	readonly prefillTokensPerS: number;
	/** Time before which nothing is granted, so that receiving hosts can first report the grants of the previous owner. */
	readonly openAt: number;
	readonly random: () => number;
};

/** An active grant as recorded by the engine's owner, with its expiry and prefill time. */
type GrantRecord = ActiveGrant & {
	/** Time at which the grant expires unless it is renewed. */
	readonly expiresAt: number;
	/** Time of the grant, or of the first renewal when a previous owner granted it. */
	readonly since: number;
	/** Prefill time that was added to `prefillFreeAt` for it. */
	readonly prefillMs: number;
};

/**
Creates the queue of requests for the slots of one engine, kept by the host that owns the engine. A request is granted when
a slot is free and the engine is about to finish its current prefill. Requests thus wait here and not in the engine, where
they could neither be ordered fairly nor be sent to another engine.
*/
export function createEngineQueue(options: EngineQueueOptions): EngineQueue {
	const {queueLimit, prefillTokensPerS, openAt, random} = options;
	const queue = createFairQueue<SlotRequest>();
	/** Waiting requests that resume a broken stream. */
	const resumedRequests: SlotRequest[] = [];
	/** Waiting requests that must run alone on the engine. */
	const isolatedRequests: SlotRequest[] = [];
	/** Deadlines of all waiting requests by id. */
	const deadlines = new Map<string, number>();
	/** Grants in use by request id. */
	const running = new Map<string, GrantRecord>();
	/** End times of withdrawn and released requests by id, oldest first; later messages about these are out of date. */
	const ended = new Map<string, number>();
	let {slots} = options;
	let leaving = false;
	let averageRunMs = initialRunMs;
	/** Time at which the engine will have finished the prefill of all granted requests. */
	let prefillFreeAt = 0;

	/** Total prefill time of the waiting requests. */
	let waitingPrefillMs = 0;

	const listWaiting = (): readonly SlotRequest[] => [...resumedRequests, ...isolatedRequests, ...queue.items()];

	const waitMs = (now: number): number => {
		const requestsAhead = deadlines.size + Math.max(0, running.size + 1 - slots);
		return Math.max(openAt - now, requestsAhead * averageRunMs / Math.max(1, slots), prefillFreeAt + waitingPrefillMs - now, 0);
	};

	const getPrefillMs = (request: SlotRequest): number => request.prefillTokens / prefillTokensPerS * 1000;

	const refuse = (request: SlotRequest, reason: GrantRefusalReason, now: number): GrantAction => {
		if (deadlines.delete(request.id)) {
			waitingPrefillMs -= getPrefillMs(request);
		}

		// The jitter prevents refused callers from retrying all at the same time.
		const retryAfterMs = Math.ceil(Math.max(averageRunMs, waitMs(now)) * (1 + (retryAfterJitter * random())));
		return {
			kind: 'refuse', ask: request, reason, retryAfterMs,
		};
	};

	const startGrant = (request: SlotRequest, now: number): GrantAction => {
		deadlines.delete(request.id);
		const prefillMs = getPrefillMs(request);
		const {engine, host, alone} = request;
		waitingPrefillMs -= prefillMs;
		prefillFreeAt = Math.max(prefillFreeAt, now) + prefillMs;
		running.set(request.id, {
			engine, host, alone, item: request, expiresAt: now + leaseMs, since: now, prefillMs,
		});
		return {kind: 'grant', ask: request};
	};

	/** Removes and returns the request to grant next, or `undefined` when nothing may be granted now. */
	const takeNext = (now: number): SlotRequest | undefined => {
		const hasIsolatedRun = [...running.values()].some(held => held.alone);
		if (hasIsolatedRun || running.size >= slots || prefillFreeAt - now > grantLeadMs) {
			return undefined;
		}

		// Nothing else is granted while a request waits to run alone, or the engine might never become idle.
		if (isolatedRequests.length > 0) {
			return running.size === 0 ? isolatedRequests.shift() : undefined;
		}

		return resumedRequests.shift() ?? queue.pop();
	};

	const grantNext = (now: number): readonly GrantAction[] => {
		const actions: GrantAction[] = [];
		if (now < openAt || leaving) {
			return actions;
		}

		for (let request = takeNext(now); request; request = takeNext(now)) {
			actions.push(startGrant(request, now));
		}

		return actions;
	};

	const removeWaiting = (id: string): SlotRequest | undefined => {
		for (const list of [resumedRequests, isolatedRequests]) {
			const index = list.findIndex(request => request.id === id);
			if (index !== -1) {
				return list.splice(index, 1)[0];
			}
		}

		return queue.remove(id);
	};

	const refuseMatching = (matches: (request: SlotRequest) => boolean, reason: GrantRefusalReason, now: number): readonly GrantAction[] =>
		listWaiting().filter(request => matches(request)).map(request => {
			removeWaiting(request.id);
			return refuse(request, reason, now);
		});

	const recordEnd = (id: string, now: number): void => {
		ended.set(id, now);
		for (const [endedId, endedAt] of ended) {
			if (now - endedAt <= endedRetentionMs) {
				break;
			}

			ended.delete(endedId);
		}
	};

	const updateRunMs = (held: GrantRecord, now: number): void => {
		averageRunMs += runSmoothingFactor * (now - held.since - averageRunMs);
	};

	return {
		waitMs,
		ask(request, now) {
			if (ended.has(request.id)) {
				return [refuse(request, 'withdrawn', now)];
			}

			if (leaving) {
				return [refuse(request, 'leaving', now)];
			}

			if (deadlines.size >= queueLimit) {
				return [refuse(request, 'queue-full', now)];
			}

			if (waitMs(now) >= request.leftMs) {
				return [refuse(request, 'deadline', now)];
			}

			deadlines.set(request.id, now + request.leftMs);
			waitingPrefillMs += getPrefillMs(request);
			if (request.alone) {
				isolatedRequests.push(request);
			} else if (request.resumed) {
				resumedRequests.push(request);
			} else {
				queue.push(request);
			}

			return grantNext(now);
		},
		withdraw(id, now) {
			recordEnd(id, now);
			const request = removeWaiting(id);
			if (request) {
				return [refuse(request, 'withdrawn', now)];
			}

			const held = running.get(id);
			if (held) {
				running.delete(id);
				prefillFreeAt -= held.prefillMs;
				queue.settle(held.item, 0);
			}

			return grantNext(now);
		},
		release(id, tokens, now) {
			recordEnd(id, now);
			const held = running.get(id);
			if (held) {
				running.delete(id);
				queue.settle(held.item, tokens);
				updateRunMs(held, now);
			}

			return grantNext(now);
		},
		renew(host, grants, now) {
			for (const grant of grants.filter(({item}) => !ended.has(item.id))) {
				const known = running.get(grant.item.id);
				running.set(grant.item.id, {
					...grant, host, since: known?.since ?? now, prefillMs: known?.prefillMs ?? 0, expiresAt: now + leaseMs,
				});
			}

			return [];
		},
		tick(now) {
			for (const [id, held] of running) {
				if (held.expiresAt <= now) {
					running.delete(id);
				}
			}

			const expired = refuseMatching(request => (deadlines.get(request.id) ?? 0) <= now, 'deadline', now);
			return [...expired, ...grantNext(now)];
		},
		dropUnavailableHosts(isUp, now) {
			for (const [id, held] of running) {
				if (!isUp(held.host)) {
					running.delete(id);
				}
			}

			const orphaned = refuseMatching(request => !isUp(request.host), 'withdrawn', now);
			return [...orphaned, ...grantNext(now)];
		},
		nextGrantAt: now => deadlines.size === 0 || leaving ? undefined : Math.max(now, openAt, prefillFreeAt - grantLeadMs),
		setSlots(count, now) {
			slots = count;
			return grantNext(now);
		},
		setLeaving(isLeaving, now) {
			leaving = isLeaving;
			return leaving ? refuseMatching(() => true, 'leaving', now) : grantNext(now);
		},
		close: now => refuseMatching(() => true, 'not-owner', now),
		state: () => ({running: running.size, waiting: deadlines.size, leaving}),
	};
}
