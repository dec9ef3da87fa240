import {decideAdmission} from '../../src/decide/forwarding/decide-admission.js';
import {predictFirstByte} from '../../src/decide/forwarding/predict-first-byte.js';
import {type UpstreamCandidate} from '../../src/decide/forwarding/upstream-candidate.js';
import {chooseUpstream} from '../../src/decide/forwarding/choose-upstream.js';
import {type UpstreamView} from '../../src/decide/forwarding/upstream-view.js';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';

/** A class of requests in a simulated load. Times are in milliseconds. */
export type RequestClass = {
	readonly name: string;
	readonly requestsPerS: number;
	readonly tokens: number;
	readonly objectiveMs: number;
	/** Callers disconnect when the first byte takes longer. */
	readonly abandonAfterMs: number;
	readonly urgency: number;
	readonly onTimeUtility: number;
	readonly lateUtility: number;
};

/** The decisions that a policy enables. */
export type LoadPolicy = {
	readonly ranksUpstreams: boolean;
	readonly shedsLoad: boolean;
	/** Whether requests of lower priority are refused first. */
	readonly shedsLessUrgentFirst: boolean;
	/** Whether a host estimates the load that other hosts add between reports. */
	readonly allowsForUnreportedLoad: boolean;
};

/** A load to simulate. */
export type LoadProfile = {
	readonly requestClasses: readonly RequestClass[];
	readonly engines: number;
	readonly memoryTokens: number;
	readonly durationMs: number;
	/** Factor applied to the request rates at a time in milliseconds. */
	readonly trafficFactorAt: (now: number) => number;
	/** Number of running engines at a time in milliseconds. */
	readonly availableEnginesAt: (now: number) => number;
	readonly seed: number;
	/** Number of hosts that place requests, each of which sees the others' load only in reports. Default: 1. */
	readonly hosts?: number;
	/** Interval of the hosts' reports in milliseconds. */
	readonly reportMs?: number;
};

/** The outcome of a class of requests. */
export type LoadResult = {
	readonly requested: number;
	readonly onTime: number;
	readonly late: number;
	readonly utility: number;
	/** Share of the requests sent in the last quarter that were on time. */
	readonly finalOnTimeShare: number;
};

type Job = {
	readonly kind: RequestClass;
	readonly firstSentAt: number;
	readonly at: number;
	left: number;
	firstByteAt: number | undefined;
};

type Engine = {jobs: Job[]};

const stepMs = 5;
const prefillTokensPerMs = 90;
const decodeMs = 250;
const defaultReportMs = 100;
/** Prompts of a simulated load have no KV cache at any engine. */
const noKvCache = {mayHold: () => false, predictWithKvCache: (candidate: UpstreamCandidate) => candidate};

/** Simulates one prefill step of an engine, by priority and then arrival, for the jobs that fit its memory. */
function runPrefillStep(engine: Engine, memoryTokens: number, now: number): void {
	const scheduled = engine.jobs.toSorted((a, b) => Number(b.firstByteAt !== undefined) - Number(a.firstByteAt !== undefined)
		|| a.kind.urgency - b.kind.urgency || a.at - b.at);
	let prefillBudget = prefillTokensPerMs * stepMs;
	let freeMemoryTokens = memoryTokens;
	for (const job of scheduled) {
		freeMemoryTokens -= job.kind.tokens;
		if (freeMemoryTokens < 0) {
			// A job that does not fit is preempted and its prefill starts over later.
			job.left = job.firstByteAt === undefined ? job.kind.tokens : job.left;
			continue;
		}

		const prefilled = Math.min(prefillBudget, job.left);
		job.left -= prefilled;
		prefillBudget -= prefilled;
		if (job.left <= 0) {
			job.firstByteAt ??= now;
		}
	}

	engine.jobs = engine.jobs.filter(job => job.firstByteAt === undefined ? now - job.at < job.kind.abandonAfterMs : now - job.firstByteAt < decodeMs);
}

/** Simulates a load in virtual time with the gateway's routing and admission decisions, simplified engines and delayed load reports. */
export function simulateLoad(load: LoadProfile, policy: LoadPolicy): ReadonlyMap<string, LoadResult> {
	const random = createSeededRandom(load.seed);
	const engines: Engine[] = Array.from({length: load.engines}, () => ({jobs: []}));
	const results = new Map(load.requestClasses.map(kind => [kind.name, {
		requested: 0, onTime: 0, late: 0, utility: 0, finalRequested: 0, finalOnTime: 0,
	}]));
	const finalQuarterStart = load.durationMs * 0.75;
	const retries: Array<{readonly kind: RequestClass; readonly firstSentAt: number; readonly at: number}> = [];
	const jobs: Job[] = [];
	let reported: ReadonlyArray<readonly Job[]> = engines.map(() => []);
	let recent: Array<{readonly host: number; readonly engine: number; readonly job: Job}> = [];
	const {hosts = 1, reportMs = defaultReportMs} = load;

	const prefillMsPerS = load.requestClasses.map(kind => kind.requestsPerS * kind.tokens / prefillTokensPerMs);
	/** Average prefill time that the other hosts add to an engine between reports. */
	const unreportedMs = prefillMsPerS.reduce((sum, ms) => sum + ms, 0) / load.engines * (reportMs / 2) / 1000 * (hosts - 1) / hosts;

	const createView = (host: number, engine: number, kind: RequestClass): UpstreamView => {
		const known = [...reported[engine]!, ...recent.filter(sent => sent.engine === engine && sent.host === host).map(sent => sent.job)];
		const waiting = known.filter(job => job.firstByteAt === undefined);
		const tokens = waiting.reduce((sum, job) => sum + (job.kind.urgency <= kind.urgency ? job.left : job.left / 4), 0);
		return {
			upstream: {
				id: String(engine), service: 's', address: '', domain: 'd', slots: 64, isLeaving: false, startedAt: undefined, softwareVersion: '', weights: new Map(),
			},
			inFlight: known.length, waitingTokens: tokens, isQueueing: waiting.length > 0, heldTokens: known.reduce((sum, job) => sum + job.kind.tokens, 0),
			isUnresponsive: false, isReachable: true, isEjected: false, failureShare: 0, freeConnections: 100, requestsPerS: undefined, closedForMs: 0,
		};
	};

	const placeRequest = (kind: RequestClass, firstSentAt: number, now: number, mayRetry: boolean): void => {
		const host = Math.floor(random() * hosts);
		const availableEngines = Array.from({length: load.availableEnginesAt(now)}, (_, engine) => engine);
		const views = availableEngines.map(engine => createView(host, engine, kind));
		const latencyParameters = {
			prefillTokensPerMs, baseMs: 20, perRequestMs: 3, crossDomainMs: 3, residenceMs: 400,
		};
		const candidates = views.map(view => ({
			view, staleWeightsPenaltyMs: 0,
			firstByteMs: predictFirstByte(view, {promptReadyMs: kind.tokens / prefillTokensPerMs, heldTokens: kind.tokens, kvCapacityTokens: load.memoryTokens}, latencyParameters, 'd'),
		}));
		const best = policy.ranksUpstreams
			? chooseUpstream(candidates, {random, unseenMs: policy.allowsForUnreportedLoad ? unreportedMs : 0, context: noKvCache})!
			: candidates[Math.floor(random() * candidates.length)]!;
		const higherPriorityObjectives = load.requestClasses.filter(other => other.urgency < kind.urgency).map(other => other.objectiveMs);
		const admission = decideAdmission({
			firstByteMs: best.firstByteMs, waitedMs: 0, objectiveMs: kind.objectiveMs, isQueueing: best.view.isQueueing, draw: random(),
			urgentObjectiveMs: policy.shedsLessUrgentFirst && higherPriorityObjectives.length > 0 ? Math.min(...higherPriorityObjectives) : undefined,
		});
		if (policy.shedsLoad && !admission.isAdmitted) {
			if (mayRetry) {
				retries.push({kind, firstSentAt, at: now + admission.retryAfterMs});
			}

			return;
		}

		const job: Job = {
			kind, firstSentAt, at: now, left: kind.tokens, firstByteAt: undefined,
		};
		const engine = Number(best.view.upstream.id);
		engines[engine]!.jobs.push(job);
		recent.push({host, engine, job});
		jobs.push(job);
	};

	for (let now = 0; now < load.durationMs; now += stepMs) {
		for (const kind of load.requestClasses) {
			const expected = kind.requestsPerS * load.trafficFactorAt(now) * stepMs / 1000;
			const count = Math.floor(expected) + Number(random() < expected % 1);
			for (let index = 0; index < count; index++) {
				const result = results.get(kind.name)!;
				result.requested++;
				result.finalRequested += now >= finalQuarterStart ? 1 : 0;
				placeRequest(kind, now, now, true);
			}
		}

		for (const retry of retries.splice(0)) {
			if (retry.at <= now) {
				placeRequest(retry.kind, retry.firstSentAt, now, false);
			} else {
				retries.push(retry);
			}
		}

		for (const [index, engine] of engines.entries()) {
			if (index < load.availableEnginesAt(now)) {
				runPrefillStep(engine, load.memoryTokens, now);
			} else {
				engine.jobs = [];
			}
		}

		if (now % reportMs === 0) {
			reported = engines.map(engine => [...engine.jobs]);
			recent = [];
		}
	}

	for (const {kind, firstSentAt, firstByteAt} of jobs) {
		const result = results.get(kind.name)!;
		if (firstByteAt !== undefined) {
			const isOnTime = firstByteAt - firstSentAt <= kind.objectiveMs;
			result.onTime += isOnTime ? 1 : 0;
			result.late += isOnTime ? 0 : 1;
			result.utility += isOnTime ? kind.onTimeUtility : kind.lateUtility;
			result.finalOnTime += isOnTime && firstSentAt >= finalQuarterStart ? 1 : 0;
		}
	}

	return new Map([...results].map(([name, {
		requested, onTime, late, utility, finalRequested, finalOnTime,
	}]) => [name, {
		requested, onTime, late, utility, finalOnTimeShare: finalOnTime / finalRequested,
	}]));
}
