import process from 'node:process';
import {type CommandModule} from 'yargs';
import {setLogOutput} from '../observe/set-log-output.js';
import {readHostSettings} from '../settings/read-host-settings.js';
import {startHost} from '../start-host.js';

/** Arguments of `serve`. */
type ServeArguments = {
	readonly settings: string;
	readonly 'allow-faults': boolean;
};

/** Runs one host until SIGTERM or SIGINT; SIGHUP reloads the TLS credentials. */
export const serveCommand: CommandModule<unknown, ServeArguments> = {
	command: 'serve',
	describe: 'run a host',
	builder: {
		settings: {type: 'string', demandOption: true, describe: 'the host\'s settings file'},
		'allow-faults': {type: 'boolean', default: false, describe: 'accept fault switches on the operator server, for tests'},
	} as never,
	async handler({settings, 'allow-faults': allowFaults}) {
		const checked = readHostSettings(settings);
		setLogOutput();
		const host = await startHost(checked, {allowFaults});
		const drainAndExit = async (): Promise<void> => {
			await host.drain();
			process.exit(0);
		};

		process.on('SIGTERM', () => {
			void drainAndExit();
		});
		process.on('SIGINT', () => {
			void drainAndExit();
		});
		process.on('SIGHUP', host.reloadTlsCredentials);
	},
};
