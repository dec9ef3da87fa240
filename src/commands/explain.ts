import {type CommandModule} from 'yargs';
import {callJson} from '../http/call-json.js';
import {type Decision} from '../observe/decision.js';
import {printResult} from './print-result.js';

const timeoutMs = 3000;

/** Arguments of `explain`. */
type ExplainArguments = {
	readonly requestId: string;
	readonly operators: string;
	readonly json: boolean;
};

/** Shows the decisions about one request, from all hosts that took part in it. */
export const explainCommand: CommandModule<unknown, ExplainArguments> = {
	command: 'explain <request-id>',
	describe: 'show the decisions about a request',
	builder: yargs => yargs
		.positional('request-id', {type: 'string', demandOption: true})
		.option('operators', {type: 'string', demandOption: true, describe: 'address of any host\'s operator server, IP:PORT'}) as never,
	async handler({requestId, operators, json}) {
		const {body} = await callJson(`http://${operators}/explain/${encodeURIComponent(requestId)}`, {timeoutMs});
		const decisions = body.decisions as readonly Decision[];
		if (decisions.length === 0) {
			throw new Error(`no host has decisions about request ${requestId}`);
		}

		const startedAt = decisions[0]!.at;
		printResult(json, body, decisions.flatMap(decision => [
			`+${decision.at - startedAt} ms ${decision.host} ${decision.what}: ${decision.reason}`,
			...(decision.candidates ?? []).map(candidate => `    ${JSON.stringify(candidate)}`),
		]));
	},
};
