import {mergePaceStates} from '../../src/decide/pace/merge-pace-states.js';
import {type PaceState} from '../../src/decide/pace/pace-state.js';
import {type UpstreamPace} from '../../src/decide/pace/upstream-pace.js';
import {simulatedMaxPerSlot} from './simulate-pace.js';

/** Policies that the chosen one is compared with. */
export type BaselinePolicy = 'none' | 'additive' | 'gradient' | 'by time';

const slowRatio = 2;
const initialShare = 0.125;
/** Time in which the weight of an upstream grows to its whole, in milliseconds; a usual setting of load balancers. */
const growthMs = 10_000;
/** Share of a new value in the smoothed limit of the gradient. */
const smoothing = 0.2;

/** Options of `createBaselinePace`. */
type BaselineOptions = {readonly slots: number; readonly hasStarted: boolean; readonly now: number};

/** Creates the limit of a simple policy, merged over hosts like that of the chosen one. */
export function createBaselinePace(policy: BaselinePolicy, {slots, hasStarted, now: createdAt}: BaselineOptions): UpstreamPace {
	const initialLimit = policy === 'by time' ? 1 : slots * initialShare;
	let state: PaceState = {setbacks: 0, limit: policy === 'none' ? slots * simulatedMaxPerSlot : (hasStarted ? initialLimit : slots)};
	let changedAt = createdAt;
	const enter = (limit: number, isDecrease: boolean, now: number): void => {
		state = {setbacks: state.setbacks + (isDecrease ? 1 : 0), limit: Math.min(slots, Math.max(1, limit))};
		changedAt = isDecrease ? now : changedAt;
	};

	const halve = (sentAt: number, now: number): void => {
		if (sentAt >= changedAt) {
			enter(state.limit / 2, true, now);
		}
	};

	const recordAnswers: Readonly<Record<BaselinePolicy, UpstreamPace['recordAnswer']>> = {
		none: () => undefined,
		'by time': () => undefined,
		additive({ratio, sentAt}, now) {
			if (ratio > slowRatio) {
				halve(sentAt, now);
			} else {
				enter(state.limit + (1 / state.limit), false, now);
			}
		},
		gradient({ratio}, now) {
			const target = (state.limit * Math.min(1, Math.max(0.5, 1 / ratio))) + Math.sqrt(state.limit);
			const next = state.limit + (smoothing * (target - state.limit));
			enter(next, next < state.limit, now);
		},
	};

	return {
		state: () => state,
		isLimited: () => policy !== 'none' && state.limit < slots,
		changedAt: () => changedAt,
		report: () => ({...state, onTime: 0, slow: 0}),
		recordAnswer: recordAnswers[policy],
		recordFailure({isLost, sentAt}, now) {
			if (policy === 'none') {
				return;
			}

			if (isLost) {
				enter(initialLimit, true, now);
				return;
			}

			if (policy !== 'by time') {
				halve(sentAt, now);
			}
		},
		review(_load, now) {
			if (policy === 'by time' && state.limit < slots) {
				state = {...state, limit: Math.max(state.limit, Math.min(slots, (now - changedAt) / growthMs * slots))};
			}
		},
		setSlots: () => undefined,
		recordReported(_source, {setbacks, limit}, now) {
			const reported: PaceState = {setbacks, limit};
			if (policy !== 'none' && mergePaceStates(state, reported) === reported) {
				changedAt = reported.setbacks > state.setbacks ? now : changedAt;
				state = reported;
			}
		},
	};
}
