import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';
import {sleep} from '../../src/util/sleep.js';
import {waitUntil} from '../support/wait-until.js';
import {faultEffects, type FaultContext} from './fault-effects.js';
import {createSoakCallers} from './create-soak-callers.js';
import {type Fault} from './fault.js';
import {findLocalPorts} from './find-local-ports.js';
import {findViolations} from './find-violations.js';
import {
	type AskedRest, type Call, type OperatorChange, type FaultInterval, type LinkCut, type SoakHistory, type RecordedOrder, type StatedLimitInterval, type UpstreamRun,
} from './soak-history.js';
import {planFaults} from './plan-faults.js';
import {startSoakCluster} from './start-soak-cluster.js';

/** No faults are injected in the last part of a soak, so that its end shows whether the cluster recovers. */
const undisturbedMs = 16_000;
/** Requests in flight when the callers stop complete within this time. */
const completionMs = 7500;
const requestsPerSecond = 80;
const minLimitMs = 5000;
const maxLimitMs = 9000;
const maxLimitPerS = 6;
const minRestS = 1;
const maxRestS = 4;
const maxRestGapMs = 4000;
const cutMs = 6000;
const failingPercentDuringCut = 25;
const maxCutGapMs = 5000;

/** Result of a soak. */
type SoakResult = {
	readonly violations: readonly string[];
	readonly calls: number;
	readonly served: number;
	readonly runs: number;
	readonly faults: number;
};

/** Options of a soak. */
type SoakOptions = {
	readonly seed: number;
	readonly durationMs: number;
	/** Folder for the history, which includes the faults, and for the hosts' logs. */
	readonly folder: string;
	readonly hostCount?: number | undefined;
	/** Whether guarantees with a time bound are checked too. */
	readonly checksTimeBounds?: boolean;
};

const defaultHostCount = 4;

/**
Runs one soak; its history, which includes the faults, and the hosts' logs are written to `folder`.

With more than sixteen hosts, one host per failure domain collects the load reports.
*/
export async function runSoak({seed, durationMs, folder, hostCount = defaultHostCount, checksTimeBounds = true}: SoakOptions): Promise<SoakResult> {
	mkdirSync(folder, {recursive: true});
	const random = createSeededRandom(seed);
	const faults = planFaults(createSeededRandom(seed + 1), durationMs - undisturbedMs);
	const calls: Call[] = [];
	const runs: UpstreamRun[] = [];
	const orders: RecordedOrder[] = [];
	const limits: StatedLimitInterval[] = [];
	const limitRandom = createSeededRandom(seed + 2);
	const rests: AskedRest[] = [];
	const restRandom = createSeededRandom(seed + 3);
	const cuts: LinkCut[] = [];
	const cutRandom = createSeededRandom(seed + 4);
	const disturbances: FaultInterval[] = [];
	const changes: OperatorChange[] = [];
	const exits: string[] = [];
	const cluster = await startSoakCluster({
		folder, hostCount, random,
		onRun: run => runs.push(run),
		onOrder: order => orders.push(order),
		onRest: rest => rests.push(rest),
		onUnexpectedExit: host => exits.push(host),
		onCrash: (upstream, downMs) => disturbances.push({
			scope: `upstream ${upstream}`, kind: 'upstream crashes', from: performance.now(), until: performance.now() + downMs,
		}),
	});
	const context: FaultContext = {
		cluster, desiredWeightsVersion: 1, hasExtraRoute: true, onChange: change => changes.push(change),
	};

	const injectFault = async (fault: Fault): Promise<void> => {
		await sleep(fault.atMs);
		const from = performance.now();
		const {scope, end, durationMs = fault.durationMs} = faultEffects[fault.kind](context, fault);
		disturbances.push({
			scope, kind: fault.kind, from, until: from + durationMs,
		});
		await sleep(fault.durationMs);
		end?.();
	};

	/** An upstream states a limit now and then; with a random sequence of its own, so that the faults of a seed stay the same. */
	const stateLimits = async (): Promise<void> => {
		const until = performance.now() + durationMs - undisturbedMs;
		while (performance.now() + maxLimitMs < until) {
			const {upstream} = cluster.upstreams[Math.floor(limitRandom() * cluster.upstreams.length)]!;
			const perS = Math.round(limitRandom() * maxLimitPerS * 10) / 10;
			const from = performance.now();
			upstream.limit = perS;
			await sleep(minLimitMs + (limitRandom() * (maxLimitMs - minLimitMs)));
			upstream.limit = undefined;
			limits.push({
				upstream: upstream.id, perS, from, until: performance.now(),
			});
			await sleep(limitRandom() * minLimitMs);
		}
	};

	/** An upstream asks one host for rest now and then. */
	const askForRest = async (): Promise<void> => {
		const until = performance.now() + durationMs - undisturbedMs;
		while (performance.now() < until) {
			const {upstream} = cluster.upstreams[Math.floor(restRandom() * cluster.upstreams.length)]!;
			upstream.nextRestS = Math.round((minRestS + (restRandom() * (maxRestS - minRestS))) * 10) / 10;
			await sleep(restRandom() * maxRestGapMs);
			upstream.nextRestS = undefined;
		}
	};

	const setFailing = (failingPercent: number): void => {
		for (const {upstream} of cluster.upstreams) {
			upstream.failingPercent = failingPercent;
		}
	};

	/** A host is cut off from all upstreams for some seconds now and then, while upstreams fail some requests. */
	const cutHosts = async (): Promise<void> => {
		const until = performance.now() + durationMs - undisturbedMs;
		while (performance.now() + cutMs + maxCutGapMs < until) {
			await sleep(cutRandom() * maxCutGapMs);
			const {host} = cluster.hosts[Math.floor(cutRandom() * cluster.hosts.length)]!;
			const how = cutRandom() < 0.5 ? 'silent' : 'reset';
			const from = performance.now();
			const heals = cluster.upstreams.map(({link}) => link.cutOff({listPorts: () => findLocalPorts(host.pid()), how}));
			setFailing(failingPercentDuringCut);
			await sleep(cutMs);
			setFailing(0);
			for (const heal of heals) {
				heal();
			}

			cuts.push({host: host.name, from, until: performance.now()});
			disturbances.push({
				scope: `links of ${host.name}`, kind: 'host is cut off from upstreams', from, until: performance.now(),
			});
		}
	};

	try {
		const callers = createSoakCallers(cluster.hosts.map(({host}) => host), requestsPerSecond, random, call => calls.push(call));
		await waitUntil('all hosts to be ready', () => callers.countReadyHosts() === cluster.hosts.length);
		await Promise.all([stateLimits(), askForRest(), cutHosts(), ...faults.map(async fault => injectFault(fault))]);
		callers.stopCrashing();
		const calmFrom = Math.max(performance.now(), ...disturbances.map(({until}) => until));
		await sleep(calmFrom - performance.now() + undisturbedMs);
		callers.pause();
		await sleep(completionMs);
		callers.stop();
		const history: SoakHistory = {
			calls, runs, orders, limits, rests, cuts, disturbances, changes, exits, calmFrom, endedAt: performance.now(),
			weights: {named: context.desiredWeightsVersion, held: cluster.upstreams.map(({upstream}) => upstream.weights())},
		};
		const violations = findViolations(history, checksTimeBounds);
		writeFileSync(path.join(folder, 'history.json'), JSON.stringify({seed, violations, ...history}, undefined, '\t'));
		return {
			violations, calls: calls.length, served: calls.filter(({status, isWhole}) => status === 200 && isWhole).length, runs: runs.length, faults: faults.length,
		};
	} finally {
		cluster.stop();
	}
}
