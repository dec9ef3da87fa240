/**
Replays generated traces of both deployments at several loads and in every scenario, with seeds that were not used for tuning,
and prints the tables of docs/MEASURES.md. Writes reports and plots to reports/.
*/
import {execFile} from 'node:child_process';
import {mkdirSync, writeFileSync} from 'node:fs';
import {promisify} from 'node:util';
import process from 'node:process';
import PQueue from 'p-queue';

const program = 'dist/hemlockpier.cjs';
const traceMinutes = 60;
const concurrentReplays = 7;
const execFileAsync = promisify(execFile);
const queue = new PQueue({concurrency: concurrentReplays});

const steadyRuns = ['cascade', 'vaerkstedsnettet'].flatMap(deployment => [0.5, 0.7, 0.9].flatMap(load => [101, 102].map(seed =>
	({
		deployment, load, seed, scenario: 'steady', policies: [],
	}))));
const scenarioRuns = ['cascade', 'vaerkstedsnettet'].flatMap(deployment => ['flood', 'slow-link', 'full-store', 'swap', 'engine-death'].map(scenario =>
	({
		deployment, load: 0.7, seed: 101, scenario, policies: ['default', 'fifo', 'recompute-always', 'fetch-always', 'two-choices'],
	})));
const overloadRuns = ['cascade', 'vaerkstedsnettet'].flatMap(deployment => [
	{
		deployment, load: 1.5, seed: 101, scenario: 'steady', policies: ['default'],
	},
	{
		deployment, load: 4, seed: 101, scenario: 'overload', policies: ['default'],
	},
]);

mkdirSync('dist/traces', {recursive: true});
mkdirSync('reports', {recursive: true});

const percent = share => `${(share * 100).toFixed(1)}%`;

async function replay({deployment, load, seed, scenario, policies}) {
	const name = `${deployment}-${scenario}-${load}-${seed}`;
	const trace = `dist/traces/${name}.jsonl`;
	const policyArguments = policies.flatMap(policy => ['--policy', policy]);
	await execFileAsync(process.execPath, [program, 'trace', deployment, '--out', trace, '--load', load, '--seed', seed, '--minutes', traceMinutes, '--scenario', scenario]);
	const {stdout} = await execFileAsync(process.execPath, [program, 'replay', trace, '--json', '--report', 'reports', '--seed', seed, ...policyArguments], {maxBuffer: 64e6});
	return {name, scenario, results: JSON.parse(stdout)};
}

/** Prints the table of a run; `kept cost` is the mean cost per served request. */
function print({name, results}) {
	console.log(`\n${name}\npolicy              p50 ms  p95 ms  p99 ms  recomputed   link  kept cost  tokens/s  refused  thirds: tokens/s, p95 ms, refused`);
	for (const {policy, firstToken, recomputedShare, linkUse, keptCost, goodput, refused, requests, thirds} of results) {
		console.log([
			policy.padEnd(18),
			...[firstToken.p50, firstToken.p95, firstToken.p99].map(ms => ms.toFixed(0).padStart(7)),
			percent(recomputedShare).padStart(11),
			percent(linkUse).padStart(6),
			keptCost.toFixed(3).padStart(10),
			goodput.toFixed(0).padStart(9),
			percent(refused / requests).padStart(8),
			` ${thirds.map(third => `${third.goodput.toFixed(0)}, ${third.p95.toFixed(0)}, ${percent(third.refusedShare)}`).join(' | ')}`,
		].join(' '));
	}
}

const runs = await queue.addAll([...overloadRuns, ...steadyRuns, ...scenarioRuns].map(run => () => replay(run)));
for (const run of runs) {
	print(run);
}

const findSteadyResults = deployment => runs.find(run => run.name === `${deployment}-steady-0.7-101`).results;
for (const deployment of ['cascade', 'vaerkstedsnettet']) {
	const floodResults = runs.find(run => run.name === `${deployment}-flood-0.7-101`).results;
	console.log(`\n${deployment}: p95 of each workspace during a flood from the last workspace, relative to the same trace without the flood`);
	for (const policy of ['default', 'fifo']) {
		const withoutFlood = findSteadyResults(deployment).find(result => result.policy === policy);
		const withFlood = floodResults.find(result => result.policy === policy);
		const ratios = Object.entries(withFlood.workspaces).map(([name, {p95}]) => `${name.split('/')[1]} ${(p95 / withoutFlood.workspaces[name].p95).toFixed(2)}`);
		console.log(`${policy}: ${ratios.join(', ')}`);
	}
}

writeFileSync('reports/all.json', JSON.stringify(runs));
