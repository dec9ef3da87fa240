import {type PermitResult} from '../../announcements/permit-result.js';

/** A grant whose end nobody reports counts for this long. */
const maxHoldMs = 60_000;
/** What a host has in flight without a grant counts for this long after it said so. */
const ungrantedValidMs = 1000;
/** A counter that has just begun learns for this long what is in flight. */
const learningMs = 300;
/** What hosts report to have in flight counts for this long; later, what they said when they asked. */
const reportedCountsMs = 2000;
const initialHoldMs = 100;
/** Weight of the newest time in the moving average of the time that a grant is held. */
const holdWeight = 0.1;
const minRetryAfterMs = 5;
/** A host that asks has been heard by the others after this long. */
const unheardMs = 2000;

/** What a host asks for. */
type RoomRequest = {
	readonly host: string;
	/** Number of the grant at this host; later ones have higher numbers. */
	readonly grant: number;
	/** Numbers of all grants that the host holds; the end of others was not heard. */
	readonly held: readonly number[];
	/** Requests that the host has in flight at the upstream without a grant of this counter. */
	readonly ungranted: number;
	/** Requests that the upstream runs at once, as far as this counter may grant them. */
	readonly slots: number;
	/** Requests in flight as hosts report them; counts while the counter learns. */
	readonly reported: number;
};

/** Counts the requests in flight at one upstream. Times are in milliseconds. */
type RoomCounter = {
	/** Grants a request if a slot is free. */
	readonly take: (request: RoomRequest, now: number) => PermitResult;
	readonly release: (host: string, grant: number, now: number) => void;
	/** Forgets the grants of hosts that are gone, other than those of hosts that have just started and may not have been heard yet. */
	readonly forgetGone: (isGone: (host: string) => boolean, now: number) => void;
};

/**
Creates the counter of an upstream that must not be sent more than it has slots. Load pattern: many hosts that would all fill the same slot at
the same moment, if each went by reports of the others' loads.
*/
export function createRoomCounter(random: () => number, startedAt: number): RoomCounter {
	/** By host and number. */
	const grants = new Map<string, {readonly host: string; readonly grant: number; readonly at: number}>();
	const ungranted = new Map<string, {readonly count: number; readonly at: number}>();
	let holdMs = initialHoldMs;

	const toKey = (host: string, grant: number): string => `${host}\n${grant}`;

	const countUsed = (now: number): number => {
		for (const [key, {at}] of grants) {
			if (now - at > maxHoldMs) {
				grants.delete(key);
			}
		}

		const others = [...ungranted.values()].filter(({at}) => now - at <= ungrantedValidMs);
		return grants.size + others.reduce((sum, {count}) => sum + count, 0);
	};

	const forget = (isForgotten: (host: string, grant: number, at: number) => boolean): void => {
		for (const [key, {host, grant, at}] of grants) {
			if (isForgotten(host, grant, at)) {
				grants.delete(key);
			}
		}
	};

	return {
		forgetGone(isGone, now) {
			forget((host, _grant, at) => isGone(host) && now - at > unheardMs);
		},
		take({host, grant, held, ungranted: count, slots, reported}, now) {
			// Requests overtake each other: what the host took after it sent this one is not in the list.
			forget((ofHost, known) => ofHost === host && known < grant && !held.includes(known));
			ungranted.set(host, {count, at: now});
			const isLearning = now - startedAt < learningMs;
			if (!isLearning && Math.max(countUsed(now), now - startedAt < reportedCountsMs ? reported : 0) < slots) {
				grants.set(toKey(host, grant), {host, grant, at: now});
				return {isGranted: true, retryAfterMs: 0};
			}

			const dueMs = isLearning ? startedAt + learningMs - now : holdMs / Math.max(1, slots);
			return {isGranted: false, retryAfterMs: Math.ceil(minRetryAfterMs + (dueMs * (0.5 + random())))};
		},
		release(host, grant, now) {
			const key = toKey(host, grant);
			const known = grants.get(key);
			if (known) {
				grants.delete(key);
				holdMs += holdWeight * (now - known.at - holdMs);
			}
		},
	};
}
