import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runSoak} from './run-soak.js';

const msPerMinute = 60_000;

/** Runs soaks one after the other and exits with 1 if any of them violated a guarantee. */
async function main(): Promise<void> {
	const {seed, count, minutes, hosts, logs} = await yargs(hideBin(process.argv))
		.option('seed', {type: 'number', default: 1, describe: 'first seed'})
		.option('count', {type: 'number', default: 1, describe: 'number of seeds'})
		.option('minutes', {type: 'number', default: 0.75, describe: 'duration of each soak in minutes'})
		.option('hosts', {type: 'number', describe: 'number of hosts; with more than 16, one host in each failure domain collects the load reports'})
		.option('logs', {type: 'string', default: 'reports/soak', describe: 'folder for logs and histories'})
		.strict()
		.parse();
	for (let each = seed; each < seed + count; each++) {
		const {violations, ...figures} = await runSoak({
			seed: each, durationMs: minutes * msPerMinute, folder: path.join(logs, String(each)), hostCount: hosts,
		});
		console.log(JSON.stringify({
			seed: each, ...figures, violations: violations.slice(0, 10), violationCount: violations.length,
		}));
		process.exitCode = violations.length > 0 ? 1 : process.exitCode ?? 0;
	}

	process.exit();
}

main().catch((error: unknown) => {
	console.error(error);
	process.exit(1);
});
