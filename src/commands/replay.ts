import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {type CommandModule} from 'yargs';
import {UsageError} from '../errors/usage-error.js';
import {checkExpectations} from '../replay/check-expectations.js';
import {expectationSchema} from '../replay/expectation-schema.js';
import {policies} from '../replay/policies.js';
import {readTrace} from '../replay/read-trace.js';
import {type RunResult} from '../replay/run-result.js';
import {runPolicy} from '../replay/run-policy.js';
import {parseJsonc} from '../settings/parse-jsonc.js';
import {printResult} from './print-result.js';

/** Arguments of `replay`. */
type ReplayArguments = {
	readonly trace: string;
	readonly expect: string | undefined;
	readonly policy: readonly string[] | undefined;
	readonly report: string | undefined;
	readonly seed: number;
	readonly json: boolean;
};

const formatPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

function formatResult(result: RunResult): string {
	const {policy, served, refused, firstToken, recomputedShare, linkBytesIn, linkBytesOut, linkUse, engineUse, keptCost, goodput} = result;
	return [
		policy.padEnd(17),
		[firstToken.p50, firstToken.p95, firstToken.p99].map(ms => ms.toFixed(0).padStart(7)).join(''),
		formatPercent(recomputedShare).padStart(9),
		(linkBytesIn / 1e9).toFixed(0).padStart(8),
		(linkBytesOut / 1e9).toFixed(0).padStart(8),
		formatPercent(linkUse).padStart(8),
		formatPercent(engineUse).padStart(8),
		keptCost.toFixed(3).padStart(8),
		goodput.toFixed(0).padStart(9),
		String(served).padStart(8),
		String(refused).padStart(8),
	].join('');
}

const header = 'policy               p50    p95    p99recomputed GB in  GB out    link engines    cost  tokens/s  servedrefused';

function formatShares(result: RunResult): readonly string[] {
	return [...Object.entries(result.services), ...Object.entries(result.workspaces)].map(([name, share]) => {
		const counts = `${String(share.requests).padStart(7)} requests, ${String(share.refused).padStart(6)} refused`;
		return `  ${name.padEnd(28)} ${counts}, ${formatPercent(share.share).padStart(6)} of tokens, p95 ${share.p95.toFixed(0)} ms`;
	});
}

async function writeReport(folder: string, trace: string, results: readonly RunResult[]): Promise<void> {
	const {plotResults} = await import('../replay/plot-results.js');
	const name = path.basename(trace, path.extname(trace));
	mkdirSync(folder, {recursive: true});
	writeFileSync(path.join(folder, `${name}.json`), `${JSON.stringify(results, undefined, '\t')}\n`);
	writeFileSync(path.join(folder, `${name}.svg`), await plotResults(name, results));
}

/** Replays a trace under one or more policies and compares them. */
export const replayCommand: CommandModule<unknown, ReplayArguments> = {
	command: 'replay <trace>',
	describe: 'replay a trace under one or more policies',
	builder: yargs => yargs
		.positional('trace', {type: 'string', demandOption: true})
		.option('expect', {type: 'string', describe: 'file of expected outcomes; if one is not met, the exit code is 1'})
		.option('policy', {type: 'string', array: true, describe: 'policies to compare; all by default'})
		.option('report', {type: 'string', describe: 'folder for results and plots'})
		.option('seed', {type: 'number', default: 1}) as never,
	async handler({trace, expect, policy, report, seed, json}) {
		const unknown = policy?.find(name => !policies.some(candidate => candidate.name === name));
		if (unknown !== undefined) {
			throw new UsageError(`policy "${unknown}" does not exist; the policies are ${policies.map(candidate => candidate.name).join(', ')}`);
		}

		const expectations = expect === undefined ? [] : parseJsonc(expect, readFileSync(expect, 'utf8'), expectationSchema);
		const events = readTrace(trace);
		const results = policies.filter(candidate => !policy || policy.includes(candidate.name)).map(candidate => runPolicy(events, candidate, seed));
		printResult(json, results, [header, ...results.map(result => formatResult(result)), `shares under ${results[0]!.policy}:`, ...formatShares(results[0]!)]);
		if (report !== undefined) {
			await writeReport(report, trace, results);
		}

		const missed = checkExpectations(expectations, results);
		if (missed.length > 0) {
			throw new Error(missed.join('\n'));
		}
	},
};
