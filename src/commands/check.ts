import {type CommandModule} from 'yargs';
import {readServiceFiles} from '../settings/read-service-files.js';
import {printResult} from './print-result.js';

/** Arguments of `check`. */
type CheckArguments = {
	readonly dir: readonly string[];
	readonly json: boolean;
};

/** Validates service files without publishing them. */
export const checkCommand: CommandModule<unknown, CheckArguments> = {
	command: 'check <dir...>',
	describe: 'validate service files',
	builder: yargs => yargs.positional('dir', {type: 'string', array: true, demandOption: true}) as never,
	async handler({dir, json}) {
		const files = readServiceFiles(dir);
		const result = files.map(({file, service}) => ({file, service: service.service}));
		printResult(json, {services: result}, result.map(entry => `${entry.file}: service ${entry.service} is valid`));
	},
};
