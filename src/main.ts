import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {checkCommand} from './commands/check.js';
import {demoCommand} from './commands/demo.js';
import {drainCommand} from './commands/drain.js';
import {explainCommand} from './commands/explain.js';
import {publishCommand} from './commands/publish.js';
import {replayCommand} from './commands/replay.js';
import {serveCommand} from './commands/serve.js';
import {standInCommand} from './commands/stand-in.js';
import {statusCommand} from './commands/status.js';
import {traceCommand} from './commands/trace.js';
import {SettingsError} from './errors/settings-error.js';
import {UsageError} from './errors/usage-error.js';

const exitFailed = 1;
const exitUsage = 2;

function fail(message: string, error: Error | undefined): never {
	const isUsage = !error || error instanceof SettingsError || error instanceof UsageError;
	process.stderr.write(`${error?.message ?? message}\n`);
	process.exit(isUsage ? exitUsage : exitFailed);
}

void yargs(hideBin(process.argv))
	.scriptName('hemlockpier')
	.command(serveCommand)
	.command(checkCommand)
	.command(publishCommand)
	.command(statusCommand)
	.command(explainCommand)
	.command(drainCommand)
	.command(demoCommand)
	.command(standInCommand)
	.command(traceCommand)
	.command(replayCommand)
	.demandCommand(1, 'name a command; see --help')
	.strict()
	.option('json', {
		type: 'boolean', default: false, describe: 'machine-readable output', global: true,
	})
	.fail((message, error) => fail(message, error))
	.version('0.1.0')
	.parseAsync();
