import process from 'node:process';
import yargs, {type CommandModule} from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SettingsError} from './errors/settings-error.js';
import {UsageError} from './errors/usage-error.js';

const failureExitCode = 1;
const usageExitCode = 2;
/** Commands that run a host. */
const hostCommands: ReadonlySet<string> = new Set(['serve', 'gateway']);

async function selectCommand<M extends object>(modulePromise: Promise<M>, name: keyof M): Promise<CommandModule<unknown, never>> {
	const module = await modulePromise;
	return module[name] as CommandModule<unknown, never>;
}

/** Loads each command's module only when it is needed, since a host's start time adds to its recovery time. */
const loaders: Readonly<Record<string, () => Promise<CommandModule<unknown, never>>>> = {
	serve: async () => selectCommand(import('./commands/serve.js'), 'serveCommand'),
	gateway: async () => selectCommand(import('./commands/gateway.js'), 'gatewayCommand'),
	check: async () => selectCommand(import('./commands/check.js'), 'checkCommand'),
	publish: async () => selectCommand(import('./commands/publish.js'), 'publishCommand'),
	status: async () => selectCommand(import('./commands/status.js'), 'statusCommand'),
	explain: async () => selectCommand(import('./commands/explain.js'), 'explainCommand'),
	drain: async () => selectCommand(import('./commands/drain.js'), 'drainCommand'),
	demo: async () => selectCommand(import('./commands/demo.js'), 'demoCommand'),
	'stand-in': async () => selectCommand(import('./commands/stand-in.js'), 'standInCommand'),
	trace: async () => selectCommand(import('./commands/trace.js'), 'traceCommand'),
	replay: async () => selectCommand(import('./commands/replay.js'), 'replayCommand'),
};

function fail(message: string, error: Error | undefined): never {
	const isUsage = !error || error instanceof SettingsError || error instanceof UsageError;
	process.stderr.write(`${error?.message ?? message}\n`);
	process.exit(isUsage ? usageExitCode : failureExitCode);
}

async function run(): Promise<void> {
	const [name = ''] = hideBin(process.argv);
	if (hostCommands.has(name)) {
		// A SIGHUP that arrives before the host has installed its own handler must not end the process.
		process.on('SIGHUP', () => undefined);
	}

	const selectedLoaders = loaders[name] ? [loaders[name]] : Object.values(loaders);
	const commands = await Promise.all(selectedLoaders.map(async load => load()));
	const parser = yargs(hideBin(process.argv))
		.scriptName('hemlockpier')
		.demandCommand(1, 'a command is required; see --help')
		.strict()
		.option('json', {
			type: 'boolean', default: false, describe: 'machine-readable output', global: true,
		})
		.fail((message, error) => fail(message, error))
		.version('0.1.0');
	for (const command of commands) {
		parser.command(command);
	}

	if (hostCommands.has(name) && !process.argv.includes('--help')) {
		// The text is laid out at each start otherwise, also where nobody asks for it.
		parser.help(false);
	}

	await parser.parseAsync();
}

void run();
