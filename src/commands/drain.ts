import {type CommandModule} from 'yargs';
import {callJson} from '../http/call-json.js';
import {printResult} from './print-result.js';

const timeoutMs = 3000;

/** Arguments of `drain`. */
type DrainArguments = {
	readonly operators: string;
	readonly upstream: string | undefined;
	readonly back: boolean;
	readonly json: boolean;
};

/** Starts the graceful shutdown of a host, or marks an upstream as leaving or available. */
export const drainCommand: CommandModule<unknown, DrainArguments> = {
	command: 'drain',
	describe: 'shut down a host gracefully, or mark an upstream as leaving',
	builder: {
		operators: {type: 'string', demandOption: true, describe: 'address of the host\'s operator server, IP:PORT'},
		upstream: {type: 'string', describe: 'mark this upstream as leaving instead of shutting down the host'},
		back: {type: 'boolean', default: false, describe: 'with --upstream: mark it as available again'},
	} as never,
	async handler({operators, upstream, back, json}) {
		if (upstream === undefined) {
			await callJson(`http://${operators}/drain`, {method: 'POST', timeoutMs});
			printResult(json, {draining: operators}, [`${operators} is leaving`]);
			return;
		}

		await callJson(`http://${operators}/mark`, {body: {upstream, leaving: !back}, timeoutMs});
		printResult(json, {upstream, leaving: !back}, [`${upstream} is marked as ${back ? 'available' : 'leaving'}`]);
	},
};
