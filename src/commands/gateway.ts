import process from 'node:process';
import {type CommandModule} from 'yargs';
import {adapter} from '../../platform/adapter.js';
import {UsageError} from '../errors/usage-error.js';
import {createBoundedWriter} from '../observe/create-bounded-writer.js';
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

const exitFlushMs = 60;

/** Runs one host in front of registered upstreams until SIGTERM or SIGINT; SIGHUP reads the settings anew. */
export const gatewayCommand: CommandModule<unknown, GatewayArguments> = {
	command: 'gateway',
	describe: 'run a host in front of the upstreams registered at a platform',
	builder: {
		settings: {type: 'string', describe: 'the host\'s settings file'},
		'settings-from': {type: 'string', describe: 'environment variable that holds the path of the settings file'},
	} as never,
	async handler({settings, 'settings-from': variable}) {
		const file = settings ?? (variable === undefined ? undefined : process.env[variable]);
		if (file === undefined) {
			throw new UsageError('name the settings file with --settings or --settings-from');
		}

		setLogOutput(createBoundedWriter(process.stdout.fd));
		const gateway = await startGateway(readSettingsFile<GatewaySettings>(file, gatewaySettingsSchema), adapter);
		const leave = async (): Promise<void> => {
			await gateway.drain();
			setTimeout(() => {
				process.exit(0);
			}, exitFlushMs);
		};

		const fail = (error: unknown): void => {
			log.fatal({error: String((error as Error | undefined)?.stack ?? error)}, 'host failed inside, stopping');
			setTimeout(() => {
				process.exit(1);
			}, exitFlushMs);
		};

		process.on('uncaughtException', fail);
		process.on('unhandledRejection', fail);
		process.on('SIGTERM', () => {
			void leave();
		});
		process.on('SIGINT', () => {
			void leave();
		});
		const watch = createSettingsWatch({
			file,
			parse: text => parseJsonc<GatewaySettings>(file, text, gatewaySettingsSchema),
			onChange: gateway.reload,
		});
		process.on('SIGHUP', () => {
			log.info({file}, 'signal to read the settings anew');
			void watch.check();
		});
	},
};
