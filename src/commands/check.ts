import {readFileSync, statSync} from 'node:fs';
import process from 'node:process';
import {parse} from 'jsonc-parser';
import {type CommandModule} from 'yargs';
import {adapter} from '../../platform/adapter.js';
import {SettingsError} from '../errors/settings-error.js';
import {UsageError} from '../errors/usage-error.js';
import {checkConfigurationFile} from '../settings/configuration-check/check-configuration-file.js';
import {readServiceFiles} from '../settings/read-service-files.js';
import {printResult} from './print-result.js';

/** Arguments of `check`. */
type CheckArguments = {
	readonly dir: readonly string[];
	readonly against: string | undefined;
	readonly 'memory-mb': number | undefined;
	readonly upstreams: string | readonly string[] | undefined;
	readonly json: boolean;
};

const findingsExitCode = 1;

/**
Checks whether a location is the file of a configuration. The content decides unless the name is one of service files, which may have other names too.

@throws {SettingsError} When the content can't be read.
*/
function isConfigurationFile(location: string): boolean {
	if (location.endsWith('.hemlockpier.jsonc') || !statSync(location, {throwIfNoEntry: false})?.isFile()) {
		return false;
	}

	try {
		return adapter.isConfiguration(parse(readFileSync(location, 'utf8')));
	} catch {
		throw new SettingsError([{
			file: location, line: 1, path: '(root)', message: 'cannot be read',
		}]);
	}
}

function parseUpstreamCounts(texts: readonly string[]): ReadonlyMap<string, number> {
	return new Map(texts.map(text => {
		const {service, count} = /^(?<service>.+)=(?<count>\d+)$/v.exec(text)?.groups ?? {};
		if (service === undefined) {
			throw new UsageError(`--upstreams must be SERVICE=N, not ${text}`);
		}

		return [service, Number(count)] as const;
	}));
}

function checkConfiguration(file: string, {against, 'memory-mb': memoryMb, upstreams, json}: CheckArguments): void {
	if (memoryMb !== undefined && !(memoryMb > 0)) {
		throw new UsageError('--memory-mb must be a number above 0');
	}

	const findings = checkConfigurationFile(file, {
		adapter, against, memoryMb, upstreamCounts: parseUpstreamCounts([upstreams ?? []].flat()),
	});
	const lines = findings.map(({file, line, path, category, message}) => `${file}:${line}: ${path}: ${category}: ${message}`);
	printResult(json, {findings}, lines.length === 0 ? [`${file}: no findings`] : lines);
	process.exitCode = findings.length === 0 ? 0 : findingsExitCode;
}

/** Validates service files without publishing them, or checks a configuration before it is sent to the store. */
export const checkCommand: CommandModule<unknown, CheckArguments> = {
	command: 'check <dir...>',
	describe: 'validate service files, or check the file of a configuration',
	builder: yargs => yargs
		.positional('dir', {type: 'string', array: true, demandOption: true})
		.option('against', {type: 'string', requiresArg: true, describe: 'file of the configuration in force, to compare with'})
		.option('memory-mb', {type: 'number', requiresArg: true, describe: 'memory of a host\'s machine'})
		.option('upstreams', {type: 'string', requiresArg: true, describe: 'SERVICE=N, number of upstreams of a service; repeatable'}) as never,
	async handler(options) {
		const {dir, against, 'memory-mb': memoryMb, upstreams, json} = options;
		const isForConfiguration = [against, memoryMb, upstreams].some(value => value !== undefined);
		if (isForConfiguration || dir.some(location => isConfigurationFile(location))) {
			if (dir.length !== 1) {
				throw new UsageError('the file of a configuration is checked alone');
			}

			checkConfiguration(dir[0]!, options);
			return;
		}

		const files = readServiceFiles(dir);
		const result = files.map(({file, service}) => ({file, service: service.service}));
		printResult(json, {services: result}, result.map(entry => `${entry.file}: service ${entry.service} is valid`));
	},
};
