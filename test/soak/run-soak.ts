import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';
import {sleep} from '../../src/util/sleep.js';
import {waitUntil} from '../support/wait-until.js';
import {faultEffects, type FaultContext} from './fault-effects.js';
import {createSoakCallers} from './create-soak-callers.js';
import {type Fault} from './fault.js';
import {findViolations} from './find-violations.js';
import {
	type Call, type OperatorChange, type FaultInterval, type SoakHistory, type RecordedOrder, type UpstreamRun,
} from './soak-history.js';
import {planFaults} from './plan-faults.js';
import {startSoakCluster} from './start-soak-cluster.js';

/** Nothing is disturbed in the last part, so that the end shows whether all comes back. */
const undisturbedMs = 16_000;
/** Requests under way when callers stop end within this time. */
const completionMs = 7500;
const requestsPerSecond = 80;

/** What a soak found. */
type SoakResult = {
	readonly violations: readonly string[];
	readonly calls: number;
	readonly served: number;
	readonly runs: number;
	readonly faults: number;
};

/** Which soak to run. */
type SoakOptions = {
	readonly seed: number;
	readonly durationMs: number;
	/** Where its history, the faults and the hosts' logs are kept. */
	readonly folder: string;
	readonly hostCount?: number | undefined;
	/** Whether promises with a bound in time are checked too. */
	readonly checksTimeBounds?: boolean;
};

const defaultHostCount = 4;

/**
Runs one soak; its history, the faults and the hosts' logs are kept in `folder`.

More than sixteen hosts collect their reports.
*/
export async function runSoak({seed, durationMs, folder, hostCount = defaultHostCount, checksTimeBounds = true}: SoakOptions): Promise<SoakResult> {
	mkdirSync(folder, {recursive: true});
	const random = createSeededRandom(seed);
	const faults = planFaults(createSeededRandom(seed + 1), durationMs - undisturbedMs);
	const calls: Call[] = [];
	const runs: UpstreamRun[] = [];
	const orders: RecordedOrder[] = [];
	const disturbances: FaultInterval[] = [];
	const changes: OperatorChange[] = [];
	const exits: string[] = [];
	const cluster = await startSoakCluster({
		folder, hostCount, random,
		onRun: run => runs.push(run),
		onOrder: order => orders.push(order),
		onUnexpectedExit: host => exits.push(host),
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

	try {
		const callers = createSoakCallers(cluster.hosts.map(({host}) => host), requestsPerSecond, random, call => calls.push(call));
		await waitUntil('all hosts to be ready', () => callers.countReadyHosts() === cluster.hosts.length);
		await Promise.all(faults.map(async fault => injectFault(fault)));
		const calmFrom = Math.max(performance.now(), ...disturbances.map(({until}) => until));
		await sleep(calmFrom - performance.now() + undisturbedMs);
		callers.pause();
		await sleep(completionMs);
		callers.stop();
		const history: SoakHistory = {
			calls, runs, orders, disturbances, changes, exits, calmFrom, endedAt: performance.now(),
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
