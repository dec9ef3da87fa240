import process from 'node:process';
import {type CommandModule} from 'yargs';
import {UsageError} from '../errors/usage-error.js';
import {createEngineStandIn} from '../stand-ins/create-engine-stand-in.js';
import {createPlatformStandIn} from '../stand-ins/create-platform-stand-in.js';
import {createServiceStandIn} from '../stand-ins/create-service-stand-in.js';
import {createStoreStandIn} from '../stand-ins/create-store-stand-in.js';
import {type StandIn} from '../stand-ins/stand-in.js';
import {printResult} from './print-result.js';

type CreateStandIn = (address: string, options: Record<string, unknown>) => Promise<StandIn>;

const kinds: Readonly<Record<'platform' | 'engine' | 'store' | 'service', CreateStandIn>> = {
	platform: createPlatformStandIn,
	engine: createEngineStandIn,
	store: createStoreStandIn,
	service: createServiceStandIn,
};

/** Arguments of `stand-in`. */
type StandInArguments = {
	readonly kind: keyof typeof kinds;
	readonly listen: string;
	readonly options: string;
	readonly json: boolean;
};

function parseOptions(text: string): Record<string, unknown> {
	try {
		return JSON.parse(text) as Record<string, unknown>;
	} catch {
		throw new UsageError(`--options is not JSON: ${text}`);
	}
}

/** Runs a small stand-in for an external system, for trials and tests. */
export const standInCommand: CommandModule<unknown, StandInArguments> = {
	command: 'stand-in <kind>',
	describe: 'run a stand-in for an external system',
	builder: yargs => yargs
		.positional('kind', {choices: Object.keys(kinds), demandOption: true})
		.option('listen', {type: 'string', default: '127.0.0.1:0', describe: 'address to listen on, IP:PORT'})
		.option('options', {type: 'string', default: '{}', describe: 'options of the stand-in, as JSON'}) as never,
	async handler({kind, listen, options, json}) {
		const standIn = await kinds[kind](listen, parseOptions(options));
		printResult(json, {kind, url: standIn.url}, [`${kind} stand-in at ${standIn.url}`]);
		process.on('SIGTERM', () => {
			process.exit(0);
		});
	},
};
