import {appendFileSync} from 'node:fs';
import process from 'node:process';
import {type CommandModule} from 'yargs';
import {startDemo} from '../demo/start-demo.js';
import {setLogOutput} from '../observe/set-log-output.js';

/** Arguments of `demo`. */
type DemoArguments = {
	readonly listen: string;
	readonly log: string | undefined;
};

/** Runs a complete demo system in one process on the loopback interface. */
export const demoCommand: CommandModule<unknown, DemoArguments> = {
	command: 'demo',
	describe: 'run a complete demo system in one process on the loopback interface',
	builder: {
		listen: {type: 'string', default: '127.0.0.1:8080', describe: 'address for callers, IP:PORT'},
		log: {type: 'string', describe: 'write the log to this file'},
	} as never,
	async handler({listen, log}) {
		setLogOutput(log === undefined
			? () => undefined
			: line => {
				appendFileSync(log, `${line}\n`);
			});
		const demo = await startDemo(listen);
		process.stdout.write(`${demo.lines.join('\n')}\n`);
		const stopAndExit = async (): Promise<void> => {
			await demo.stop();
			process.exit(0);
		};

		process.on('SIGTERM', () => {
			void stopAndExit();
		});
		process.on('SIGINT', () => {
			void stopAndExit();
		});
	},
};
