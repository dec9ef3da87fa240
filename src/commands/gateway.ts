import process from 'node:process';
import {type CommandModule} from 'yargs';
import {adapter} from '../../platform/adapter.js';
import {UsageError} from '../errors/usage-error.js';
import {createBoundedWriter} from '../observe/create-bounded-writer.js';
import {createUnexpectedErrorHandler} from '../observe/create-unexpected-error-handler.js';
import {log} from '../observe/log.js';
import {setLogOutput} from '../observe/set-log-output.js';
import {gatewaySettingsSchema} from '../settings/gateway-settings-schema.js';
import {type GatewaySettings} from '../settings/gateway-settings.js';
import {createSettingsWatch} from '../settings/create-settings-watch.js';
import {parseJsonc} from '../settings/parse-jsonc.js';
import {readSettingsFile} from '../settings/read-settings-file.js';
import {startGateway} from '../start-gateway.js';

/** Arguments of `gateway`. */
type GatewayArguments = {
	readonly settings: string | undefined;
	readonly 'settings-from': string | undefined;
};

/** Time for the last log lines to be written before the process exits. */
const logFlushMs = 250;

/** Runs one host in front of registered upstreams until SIGTERM or SIGINT; SIGHUP reloads the settings. */
export const gatewayCommand: CommandModule<unknown, GatewayArguments> = {
	command: 'gateway',
	describe: 'run a host in front of the upstreams registered at a platform',
	builder: {
		settings: {type: 'string', describe: 'the host\'s settings file'},
		'settings-from': {type: 'string', describe: 'environment variable that holds the path of the settings file'},
	} as never,
	async handler({settings, 'settings-from': variableName}) {
		const file = settings ?? (variableName === undefined ? undefined : process.env[variableName]);
		if (file === undefined) {
			throw new UsageError('the settings file must be named with --settings or --settings-from');
		}

		setLogOutput(createBoundedWriter(process.stdout.fd));
		const gateway = await startGateway(readSettingsFile<GatewaySettings>(file, gatewaySettingsSchema), adapter);
		const drainAndExit = async (exitCode: number): Promise<void> => {
			await gateway.drain();
			setTimeout(() => {
				process.exit(exitCode);
			}, logFlushMs);
		};

		const handleError = createUnexpectedErrorHandler({
			now: () => performance.now(),
			stop() {
				void drainAndExit(1);
			},
		});
		process.on('uncaughtException', handleError);
		process.on('unhandledRejection', handleError);
		process.on('SIGTERM', () => {
			void drainAndExit(0);
		});
		process.on('SIGINT', () => {
			void drainAndExit(0);
		});
		const watch = createSettingsWatch({
			file,
			parse: text => parseJsonc<GatewaySettings>(file, text, gatewaySettingsSchema),
			onChange: gateway.reload,
		});
		process.on('SIGHUP', () => {
			log.info({file}, 'received SIGHUP, reloading the settings');
			void watch.check();
		});
	},
};
