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

/** Begins the planned stop of a host, or marks an upstream as leaving or back. */
export const drainCommand: CommandModule<unknown, DrainArguments> = {
	command: 'drain',
	describe: 'begin the planned stop of a host, or mark an upstream',
	builder: {
		operators: {type: 'string', demandOption: true, describe: 'operators\' address, IP:PORT'},
		upstream: {type: 'string', describe: 'mark this upstream as leaving instead'},
		back: {type: 'boolean', default: false, describe: 'with --upstream: it takes new work again'},
	} as never,
	async handler({operators, upstream, back, json}) {
		if (upstream === undefined) {
			await callJson(`http://${operators}/drain`, {method: 'POST', timeoutMs});
			printResult(json, {draining: operators}, [`${operators} is leaving`]);
			return;
		}

		await callJson(`http://${operators}/mark`, {body: {upstream, leaving: !back}, timeoutMs});
		printResult(json, {upstream, leaving: !back}, [`${upstream} is marked as ${back ? 'back' : 'leaving'}`]);
	},
};
