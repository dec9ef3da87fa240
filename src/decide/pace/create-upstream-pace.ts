import {mergePaceStates} from './merge-pace-states.js';
import {type PaceReport} from './pace-report.js';
import {type PaceSettings} from './pace-settings.js';
import {type PaceState} from './pace-state.js';
import {type UpstreamPace} from './upstream-pace.js';

/** Least limit, so that an upstream is never left without a trial. */
const minLimit = 1;
/** The limit rises when the answers on time, less the slow ones, reach this share of it. */
const riseShare = 0.5;
/** The limit falls when the slow answers, less those on time, reach `riseShare` of it, within these bounds. A few slow answers may be chance. */
const minSlowExcess = 4;
const maxSlowExcess = 8;
/** The limit rises only after this share of it was in flight; a limit that is not used is not tried either. */
const usedShare = 0.5;
/**
Slow answers at a warm upstream, less those on time, after which its limit falls. Where a sixth of the answers is slow, the excess comes this far
about once in 500 million answers; 8 was reached within 100,000 with one seed.
*/
const maxExcess = 12;
/** Largest weight of one slow answer in the excess. */
const maxWeight = 3;
/** An upstream that stays slow at any limit is taken to be as fast as it is: what counts as normal there follows by a factor of e in this time. */
const normalTimeMs = 30_000;
/** Longest time between two answers that counts for it. */
const maxGapMs = 1000;
const maxNormal = 16;

/** Options of `createUpstreamPace`. */
type UpstreamPaceOptions = {
	readonly slots: number;
	/** Whether the upstream has just started; otherwise it counts as warm. */
	readonly hasStarted: boolean;
	readonly settings: PaceSettings;
	/** Monotonic clock in milliseconds, at the creation. */
	readonly now: number;
};

/**
Creates the limit on the requests in flight at one start of an upstream: slow start as in TCP. The limit begins at a share of the slots, doubles
when enough answers under it, over all hosts, were on time, and halves when most are slow or a request fails. A warm upstream has no limit
until slow answers and failures exceed those on time. Load pattern: upstreams that have just started, come back or have become slow, which all
hosts send their full share to because their queues are short.
*/
export function createUpstreamPace({slots: initialSlots, hasStarted, settings, now: createdAt}: UpstreamPaceOptions): UpstreamPace {
	let slots = Math.max(minLimit, initialSlots);
	const initialLimit = (): number => Math.min(slots, Math.max(minLimit, Math.ceil(slots * settings.initialShare)));
	let state: PaceState = {setbacks: 0, limit: hasStarted ? initialLimit() : slots};
	let changedAt = hasStarted ? createdAt : Number.NEGATIVE_INFINITY;
	/** When a slow answer or a failure last counted. */
	let disturbedAt = createdAt;
	let own = {onTime: 0, slow: 0};
	/** What others last reported under the present limit. */
	const reports = new Map<string, PaceReport>();
	/** Most requests known in flight since the limit changed. */
	let peak = 0;
	let excess = 0;
	let normal = 1;
	let answeredAt = createdAt;

	const isLimited = (): boolean => state.limit < slots;

	const enter = (next: PaceState, now: number): void => {
		state = next;
		changedAt = now;
		own = {onTime: 0, slow: 0};
		reports.clear();
		peak = 0;
		excess = 0;
	};

	const raise = (now: number): void => {
		enter({...state, limit: Math.min(slots, state.limit * 2)}, now);
	};

	const decrease = (limit: number, now: number): void => {
		enter({setbacks: state.setbacks + 1, limit: Math.min(slots, Math.max(minLimit, Math.floor(limit)))}, now);
	};

	const halve = (now: number): void => {
		decrease(state.limit / 2, now);
	};

	/** Changes the limit when the answers under it, over all hosts, say enough. */
	const judgeLimit = (now: number): void => {
		let {onTime, slow} = own;
		for (const report of reports.values()) {
			onTime += report.onTime;
			slow += report.slow;
		}

		const share = state.limit * riseShare;
		if (slow - onTime >= Math.min(maxSlowExcess, Math.max(minSlowExcess, share))) {
			halve(now);
		} else if (onTime - slow >= share && peak >= state.limit * usedShare) {
			raise(now);
		}
	};

	/** Returns how many times slower than the slowest normal answer one was, and lets what is normal follow. */
	const judgeAnswer = (ratio: number, now: number): number => {
		const slowness = ratio / (settings.slowFactor * normal);
		const gapMs = Math.min(maxGapMs, now - answeredAt);
		answeredAt = now;
		normal = Math.min(maxNormal, Math.max(1, normal * Math.exp((ratio > normal ? gapMs : -gapMs) / normalTimeMs)));
		return slowness;
	};

	/** The limit of a warm upstream falls only when slow answers and failures go on. */
	const addExcess = (weight: number, now: number): void => {
		excess = Math.max(0, excess + weight);
		if (excess >= maxExcess) {
			halve(now);
		}
	};

	return {
		state: () => state,
		isLimited,
		changedAt: () => changedAt,
		report: () => ({...state, ...own}),
		recordAnswer({sentAt, ratio, inFlight}, now) {
			const slowness = judgeAnswer(ratio, now);
			const isSlow = slowness > 1;
			disturbedAt = isSlow ? now : disturbedAt;
			if (!isLimited()) {
				addExcess(isSlow ? Math.min(maxWeight, 1 + Math.floor(Math.log2(slowness))) : -1, now);
				return;
			}

			// Answers to what was sent under another limit say nothing of this one.
			if (sentAt >= changedAt) {
				peak = Math.max(peak, inFlight);
				own = isSlow ? {...own, slow: own.slow + 1} : {...own, onTime: own.onTime + 1};
				judgeLimit(now);
			}
		},
		recordFailure({sentAt, isLost}, now) {
			disturbedAt = now;
			if (isLost && (sentAt >= changedAt || state.limit > initialLimit())) {
				decrease(Math.min(state.limit, initialLimit()), now);
			} else if (!isLost && !isLimited()) {
				addExcess(1, now);
			} else if (!isLost && sentAt >= changedAt) {
				halve(now);
			}
		},
		review({inFlight, waitingSince}, now) {
			if (!isLimited()) {
				return;
			}

			peak = Math.max(peak, inFlight);
			const isStuck = waitingSince !== undefined && waitingSince >= changedAt && now - waitingSince >= settings.quietMs;
			const isTried = own.onTime > 0 || inFlight === 0;
			if (isStuck && own.onTime === 0) {
				disturbedAt = now;
				halve(now);
			} else if (isTried && now - Math.max(changedAt, disturbedAt) >= settings.quietMs) {
				raise(now);
			}
		},
		setSlots(changed) {
			const wasLimited = isLimited();
			slots = Math.max(minLimit, changed);
			state = {...state, limit: wasLimited ? Math.min(state.limit, slots) : slots};
		},
		recordReported(source, reported, now) {
			const bounded = {...reported, limit: Math.min(slots, Math.max(minLimit, reported.limit))};
			if (bounded.setbacks === state.setbacks && bounded.limit === state.limit) {
				reports.set(source, bounded);
				if (isLimited()) {
					judgeLimit(now);
				}
			} else if (mergePaceStates<PaceState>(state, bounded) === bounded) {
				enter({setbacks: bounded.setbacks, limit: bounded.limit}, now);
				reports.set(source, bounded);
			}
		},
	};
}
