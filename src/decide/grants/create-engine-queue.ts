import {createFairQueue} from '../fairness/create-fair-queue.js';
import {type SlotRequest} from './slot-request.js';
import {type EngineQueue} from './engine-queue.js';
import {type GrantAction} from './grant-action.js';
import {type GrantRefusalReason} from './grant-refusal-reason.js';
import {type ActiveGrant} from './active-grant.js';

const leaseMs = 10_000;
/** Requests that have ended are remembered for as long as a message about one may be under way. */
const endedRetentionMs = leaseMs;
const initialRunMs = 500;
const runSmoothingFactor = 0.1;
const retryAfterJitter = 0.5;
/** How long before the engine's prefill is free the next request is granted. */
const grantLeadMs = 30;

/** Size and start of an engine's queue. */
type EngineQueueOptions = {
	readonly slots: number;
	readonly queueLimit: number;
	readonly prefillTokensPerS: number;
	/** No grant before this time, so that receiving hosts can first report the grants of an earlier owner. */
	readonly openAt: number;
	readonly random: () => number;
};

/** A grant in use and the time at which it lapses unless renewed. */
type HeldGrant = ActiveGrant & {
	readonly expiresAt: number;
	readonly since: number;
	/** Prefill time that was counted for it. */
	readonly prefillMs: number;
};

/**
Creates the queue that an engine's owner keeps for it. A request is granted when a slot is free and the engine's prefill
is about to be, so that requests wait here, where they are shared out fairly and can still go to another engine.
*/
export function createEngineQueue(options: EngineQueueOptions): EngineQueue {
	const {queueLimit, prefillTokensPerS, openAt, random} = options;
	const queue = createFairQueue<SlotRequest>();
	const resumedRequests: SlotRequest[] = [];
	const isolatedRequests: SlotRequest[] = [];
	const deadlines = new Map<string, number>();
	const running = new Map<string, HeldGrant>();
	/** When requests were withdrawn or released, oldest first; asks and renewals that come later are out of date. */
	const ended = new Map<string, number>();
	let {slots} = options;
	let leaving = false;
	let averageRunMs = initialRunMs;
	let prefillFreeAt = 0;

	/** Prefill time of what waits. */
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

		// The spread keeps refused callers from coming back all at once.
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

	const takeNext = (now: number): SlotRequest | undefined => {
		const hasIsolatedRun = [...running.values()].some(held => held.alone);
		if (hasIsolatedRun || running.size >= slots || prefillFreeAt - now > grantLeadMs) {
			return undefined;
		}

		// A request that has to run alone drains the engine first, else it would wait for ever.
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

	const updateRunMs = (held: HeldGrant, now: number): void => {
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
