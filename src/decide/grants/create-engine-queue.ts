import {createFairQueue} from '../fairness/create-fair-queue.js';
import {type SlotRequest} from './slot-request.js';
import {type EngineQueue} from './engine-queue.js';
import {type GrantAction} from './grant-action.js';
import {type GrantRefusalReason} from './grant-refusal-reason.js';
import {type ActiveGrant} from './active-grant.js';

const leaseMs = 10_000;
/** Requests that have ended are remembered for as long as a message about one may be under way. */
const endedMemoryMs = leaseMs;
const assumedRunMs = 500;
const smoothing = 0.1;
const refuseSpread = 0.5;
/** How long before the engine's prefill is free the next request is granted. */
const leadMs = 30;

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
type Held = ActiveGrant & {
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
	const resumed: SlotRequest[] = [];
	const alone: SlotRequest[] = [];
	const deadlines = new Map<string, number>();
	const running = new Map<string, Held>();
	/** When requests were withdrawn or released, oldest first; asks and renewals that come later are out of date. */
	const ended = new Map<string, number>();
	let {slots} = options;
	let leaving = false;
	let runMs = assumedRunMs;
	let prefillFreeAt = 0;

	/** Prefill time of what waits. */
	let waitingPrefillMs = 0;

	const waiting = (): readonly SlotRequest[] => [...resumed, ...alone, ...queue.items()];

	const waitMs = (now: number): number => {
		const before = deadlines.size + Math.max(0, running.size + 1 - slots);
		return Math.max(openAt - now, before * runMs / Math.max(1, slots), prefillFreeAt + waitingPrefillMs - now, 0);
	};

	const prefillMsOf = (ask: SlotRequest): number => ask.prefillTokens / prefillTokensPerS * 1000;

	const refuse = (ask: SlotRequest, reason: GrantRefusalReason, now: number): GrantAction => {
		if (deadlines.delete(ask.id)) {
			waitingPrefillMs -= prefillMsOf(ask);
		}

		// The spread keeps refused callers from coming back all at once.
		const retryAfterMs = Math.ceil(Math.max(runMs, waitMs(now)) * (1 + (refuseSpread * random())));
		return {
			kind: 'refuse', ask, reason, retryAfterMs,
		};
	};

	const hold = (ask: SlotRequest, now: number): GrantAction => {
		deadlines.delete(ask.id);
		const prefillMs = prefillMsOf(ask);
		const {engine, host, alone} = ask;
		waitingPrefillMs -= prefillMs;
		prefillFreeAt = Math.max(prefillFreeAt, now) + prefillMs;
		running.set(ask.id, {
			engine, host, alone, item: ask, expiresAt: now + leaseMs, since: now, prefillMs,
		});
		return {kind: 'grant', ask};
	};

	const next = (now: number): SlotRequest | undefined => {
		const isAlone = [...running.values()].some(held => held.alone);
		if (isAlone || running.size >= slots || prefillFreeAt - now > leadMs) {
			return undefined;
		}

		// A request that has to run alone drains the engine first, else it would wait for ever.
		if (alone.length > 0) {
			return running.size === 0 ? alone.shift() : undefined;
		}

		return resumed.shift() ?? queue.pop();
	};

	const grantNext = (now: number): readonly GrantAction[] => {
		const actions: GrantAction[] = [];
		if (now < openAt || leaving) {
			return actions;
		}

		for (let ask = next(now); ask; ask = next(now)) {
			actions.push(hold(ask, now));
		}

		return actions;
	};

	const takeOut = (id: string): SlotRequest | undefined => {
		for (const list of [resumed, alone]) {
			const at = list.findIndex(ask => ask.id === id);
			if (at !== -1) {
				return list.splice(at, 1)[0];
			}
		}

		return queue.remove(id);
	};

	const refuseWhere = (test: (ask: SlotRequest) => boolean, reason: GrantRefusalReason, now: number): readonly GrantAction[] =>
		waiting().filter(ask => test(ask)).map(ask => {
			takeOut(ask.id);
			return refuse(ask, reason, now);
		});

	const noteEnd = (id: string, now: number): void => {
		ended.set(id, now);
		for (const [old, at] of ended) {
			if (now - at <= endedMemoryMs) {
				break;
			}

			ended.delete(old);
		}
	};

	const learn = (held: Held, now: number): void => {
		runMs += smoothing * (now - held.since - runMs);
	};

	return {
		waitMs,
		ask(ask, now) {
			if (ended.has(ask.id)) {
				return [refuse(ask, 'withdrawn', now)];
			}

			if (leaving) {
				return [refuse(ask, 'leaving', now)];
			}

			if (deadlines.size >= queueLimit) {
				return [refuse(ask, 'queue-full', now)];
			}

			if (waitMs(now) >= ask.leftMs) {
				return [refuse(ask, 'deadline', now)];
			}

			deadlines.set(ask.id, now + ask.leftMs);
			waitingPrefillMs += prefillMsOf(ask);
			if (ask.alone) {
				alone.push(ask);
			} else if (ask.resumed) {
				resumed.push(ask);
			} else {
				queue.push(ask);
			}

			return grantNext(now);
		},
		withdraw(id, now) {
			noteEnd(id, now);
			const ask = takeOut(id);
			if (ask) {
				return [refuse(ask, 'withdrawn', now)];
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
			noteEnd(id, now);
			const held = running.get(id);
			if (held) {
				running.delete(id);
				queue.settle(held.item, tokens);
				learn(held, now);
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

			const late = refuseWhere(ask => (deadlines.get(ask.id) ?? 0) <= now, 'deadline', now);
			return [...late, ...grantNext(now)];
		},
		dropUnavailableHosts(isUp, now) {
			for (const [id, held] of running) {
				if (!isUp(held.host)) {
					running.delete(id);
				}
			}

			const gone = refuseWhere(ask => !isUp(ask.host), 'withdrawn', now);
			return [...gone, ...grantNext(now)];
		},
		nextGrantAt: now => deadlines.size === 0 || leaving ? undefined : Math.max(now, openAt, prefillFreeAt - leadMs),
		setSlots(count, now) {
			slots = count;
			return grantNext(now);
		},
		setLeaving(mark, now) {
			leaving = mark;
			return leaving ? refuseWhere(() => true, 'leaving', now) : grantNext(now);
		},
		close: now => refuseWhere(() => true, 'not-owner', now),
		state: () => ({running: running.size, waiting: deadlines.size, leaving}),
	};
}
