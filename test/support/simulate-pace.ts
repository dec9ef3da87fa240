import {createUnreportedWorkEstimator} from '../../src/decide/forwarding/create-unreported-work-estimator.js';
import {computePaceChance} from '../../src/decide/pace/compute-pace-chance.js';
import {type PaceReport} from '../../src/decide/pace/pace-report.js';
import {type UpstreamPace} from '../../src/decide/pace/upstream-pace.js';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';

/** What an upstream can do at a time: the share of its slots that run at warm speed, or that it refuses connections or does not respond to them. */
export type UpstreamAbility = number | 'refuses' | 'silent';

/** A replayed start, recovery or slow-down of one upstream. Times are in milliseconds. */
export type PaceScenario = {
	readonly hosts: number;
	/** Whether the upstream begins as a new start that all hosts learn of; otherwise it is warm at first. */
	readonly hasStarted: boolean;
	readonly abilityAt: (now: number) => UpstreamAbility;
	/** Requests of all hosts a second that would be placed there if it were warm. */
	readonly requestsPerS: (now: number) => number;
	readonly durationMs: number;
	readonly seed: number;
	readonly createPace: (hasStarted: boolean, now: number) => UpstreamPace;
};

/** A request that the upstream was sent. */
type Job = {readonly host: number; readonly sentAt: number; readonly workMs: number; readonly inFlight: number; startedAt: number | undefined};

/** The result of a replay. */
export type PaceResult = {
	/** Longest time that a request waited in the upstream's queue, of those whose wait began from `from` on. */
	readonly maxQueueMs: (from: number) => number;
	/** Share of the requests offered in a period that the upstream ended in it. */
	readonly carriedShare: (from: number, until: number) => number;
	/** Lowest limit of any host in a period. */
	readonly minLimit: (from: number, until: number) => number;
};

export const simulatedSlots = 32;
export const simulatedWarmMs = 150;
const stepMs = 5;
const reportMs = 100;
/** Reports of other hosts pass through collectors. */
const reportDelayMs = 100;
const connectTimeoutMs = 500;
const slowJobShare = 1 / 6;
const slowJobFactor = 2.5;
/** Without a limit, other upstreams have shorter queues once this many requests are known to be in flight for each slot. */
export const simulatedMaxPerSlot = 2;

/** Replays requests of several hosts to one upstream in virtual time; what the limit leaves no room for goes to other upstreams. */
export function simulatePace({hosts, hasStarted, abilityAt, requestsPerS, durationMs, seed, createPace}: PaceScenario): PaceResult {
	const random = createSeededRandom(seed);
	const paces = Array.from({length: hosts}, () => createPace(hasStarted, 0));
	let jobs: Job[] = [];
	const timeouts: Array<{readonly host: number; readonly sentAt: number}> = [];
	const waits: Array<{readonly at: number; readonly ms: number}> = [];
	const offered: number[] = [];
	const ended: number[] = [];
	const limits: Array<{readonly at: number; readonly limit: number}> = [];
	/** Requests in flight of each host, and states of all, as last reported. */
	let reported: readonly number[] = Array.from({length: hosts}, () => 0);
	const underWay: Array<{readonly at: number; readonly counts: readonly number[]; readonly states: readonly PaceReport[]}> = [];

	const countOf = (host: number): number => jobs.filter(job => job.host === host).length;
	const estimators = paces.map(() => createUnreportedWorkEstimator());

	const offer = (host: number, now: number): void => {
		const pace = paces[host]!;
		const own = countOf(host);
		const others = reported.reduce((sum, count, index) => sum + (index === host ? 0 : count), 0);
		const inFlight = own + others;
		pace.review({inFlight, waitingSince: jobs.find(job => job.host === host)?.sentAt}, now);
		estimators[host]!.record(1, now);
		const unreported = estimators[host]!.estimatePerUpstreamMs({otherHosts: hosts - 1, reportAgeMs: reportDelayMs + (reportMs / 2), upstreams: 1}, now);
		const isOut = pace.isLimited() ? random() >= computePaceChance({limit: pace.state().limit, inFlight, unreported}) : inFlight >= pace.state().limit;
		if (isOut) {
			return;
		}

		const ability = abilityAt(now);
		if (ability === 'refuses') {
			pace.recordFailure({sentAt: now, isLost: true}, now);
		} else if (ability === 'silent') {
			timeouts.push({host, sentAt: now});
		} else {
			jobs.push({
				host, sentAt: now, inFlight: inFlight + 1, startedAt: undefined, workMs: simulatedWarmMs * (random() < slowJobShare ? slowJobFactor : 1),
			});
		}
	};

	const run = (now: number): void => {
		const ability = abilityAt(now);
		if (typeof ability === 'string') {
			for (const {host, sentAt} of jobs.splice(0)) {
				paces[host]!.recordFailure({sentAt, isLost: false}, now);
			}

			return;
		}

		const finished = jobs.filter(job => job.startedAt !== undefined && now - job.startedAt >= job.workMs);
		jobs = jobs.filter(job => !finished.includes(job));
		for (const {host, sentAt, inFlight} of finished) {
			ended.push(now);
			paces[host]!.recordAnswer({
				sentAt, inFlight, ratio: (now - sentAt) / (simulatedWarmMs * (1 + (Math.max(0, inFlight - simulatedSlots) / simulatedSlots))),
			}, now);
		}

		let free = Math.max(1, Math.round(ability * simulatedSlots)) - jobs.filter(job => job.startedAt !== undefined).length;
		for (const job of jobs) {
			if (job.startedAt === undefined && free > 0) {
				job.startedAt = now;
				free--;
			}

			if (job.startedAt === undefined || job.startedAt === now) {
				waits.push({at: now, ms: now - job.sentAt});
			}
		}
	};

	const report = (now: number): void => {
		if (now % reportMs === 0) {
			underWay.push({at: now + reportDelayMs, counts: paces.map((_pace, host) => countOf(host)), states: paces.map(pace => pace.report())});
		}

		const arrived = underWay[0];
		if (arrived && arrived.at <= now) {
			underWay.shift();
			reported = arrived.counts;
			for (const [host, pace] of paces.entries()) {
				for (const [source, state] of arrived.states.entries()) {
					if (source !== host) {
						pace.recordReported(String(source), state, now);
					}
				}
			}
		}
	};

	for (let now = 0; now < durationMs; now += stepMs) {
		report(now);
		run(now);
		const expected = requestsPerS(now) * stepMs / 1000;
		const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
		for (let index = 0; index < count; index++) {
			offered.push(now);
			offer(Math.floor(random() * hosts), now);
		}

		while (timeouts.length > 0 && now - timeouts[0]!.sentAt >= connectTimeoutMs) {
			const {host, sentAt} = timeouts.shift()!;
			paces[host]!.recordFailure({sentAt, isLost: true}, now);
		}

		limits.push({at: now, limit: Math.min(...paces.map(pace => pace.state().limit))});
	}

	const count = (times: readonly number[], from: number, until: number): number => times.filter(at => at >= from && at < until).length;
	return {
		maxQueueMs: from => Math.max(0, ...waits.filter(({at, ms}) => at - ms >= from).map(({ms}) => ms)),
		carriedShare: (from, until) => count(ended, from, until) / count(offered, from, until),
		minLimit: (from, until) => Math.min(...limits.filter(({at}) => at >= from && at < until).map(({limit}) => limit)),
	};
}
