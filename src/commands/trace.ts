import {writeFileSync} from 'node:fs';
import {type CommandModule} from 'yargs';
import {deployments} from '../replay/deployments.js';
import {generateTrace} from '../replay/generate-trace.js';
import {type Scenario} from '../replay/scenario.js';
import {scenarios} from '../replay/scenarios.js';
import {printResult} from './print-result.js';

/** Arguments of `trace`. */
type TraceArguments = {
	readonly deployment: keyof typeof deployments;
	readonly out: string;
	readonly load: number;
	readonly seed: number;
	readonly minutes: number;
	readonly scenario: Scenario;
	readonly json: boolean;
};

/** Generates a trace for `replay`. */
export const traceCommand: CommandModule<unknown, TraceArguments> = {
	command: 'trace <deployment>',
	describe: 'generate a trace for replay',
	builder: yargs => yargs
		.positional('deployment', {choices: Object.keys(deployments), demandOption: true})
		.option('out', {type: 'string', demandOption: true, describe: 'file to write'})
		.option('load', {type: 'number', default: 0.7, describe: 'prefill work without any KV cache, as a share of capacity'})
		.option('seed', {type: 'number', default: 1})
		.option('minutes', {type: 'number', default: 120})
		.option('scenario', {choices: scenarios, default: 'steady'}) as never,
	async handler({deployment, out, load, seed, minutes, scenario, json}) {
		const events = generateTrace(deployments[deployment], {
			load, seed, durationMs: minutes * 60_000, scenario,
		});
		writeFileSync(out, `${events.map(event => JSON.stringify(event)).join('\n')}\n`);
		// The first event is the deployment.
		printResult(json, {out, events: events.length}, [`${out}: ${events.length - 1} events`]);
	},
};
