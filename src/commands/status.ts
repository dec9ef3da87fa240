import {type CommandModule} from 'yargs';
import {callJson} from '../http/call-json.js';
import {printResult} from './print-result.js';

const timeoutMs = 3000;

/** Arguments of `status`. */
type StatusArguments = {
	readonly operators: string;
	readonly json: boolean;
};

/** Shows a host's state and its view of the other hosts and the engines. */
export const statusCommand: CommandModule<unknown, StatusArguments> = {
	command: 'status',
	describe: 'show a host\'s state and its view of the others',
	builder: {operators: {type: 'string', demandOption: true, describe: 'address of any host\'s operator server, IP:PORT'}} as never,
	async handler({operators, json}) {
		const {body} = await callJson(`http://${operators}/status`, {timeoutMs});
		const {host, domain, state, revision, members, engines, underWay} = body;
		printResult(json, body, [
			`${host} in ${domain}: ${state}, revision ${revision}, ${underWay} requests under way`,
			...members.map((member: any) => `  host ${member.name} in ${member.domain}: ${member.state}`),
			...engines.map((engine: any) => `  engine ${engine.engine}: ${engine.running} running, ${engine.waiting} waiting${engine.leaving ? ', leaving' : ''}`),
		]);
	},
};
