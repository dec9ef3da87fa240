import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const programFile = 'dist/hemlockpier.cjs';
const stepClockModule = './test/soak/step-clock.cjs';
const memoryMb = 128;
const restartMs = 300;
/** Signals that terminate a process that has not installed its handlers yet. */
const handledSignals: ReadonlySet<NodeJS.Signals> = new Set(['SIGHUP', 'SIGUSR2']);

/** A host process, which is restarted when it exits. */
export type SoakHost = {
	readonly name: string;
	readonly callers: string;
	readonly readiness: string;
	readonly sendSignal: (name: NodeJS.Signals) => void;
	/** Returns the id of its process. */
	readonly pid: () => number;
	/** Writes the settings file with the given changes. */
	readonly writeSettings: (overrides: Record<string, unknown>) => void;
	readonly stop: () => void;
};

/** Starts a host. `onUnexpectedExit` is called when it exits without a SIGTERM or SIGKILL from the soak. */
export function createSoakHost(settings: Readonly<Record<string, unknown>>, folder: string, onUnexpectedExit: (host: string) => void): SoakHost {
	const name = settings.name as string;
	const file = path.join(folder, `${name}.jsonc`);
	const log = createWriteStream(path.join(folder, `${name}.log`));
	let child: ChildProcess;
	let isExitExpected = false;
	/** Whether the program has written output, which it does after installing its signal handlers. */
	let isUp = false;
	let hasStopped = false;

	const writeSettings = (overrides: Record<string, unknown>): void => {
		writeFileSync(file, JSON.stringify({...settings, ...overrides}));
	};

	const start = (): void => {
		isExitExpected = false;
		isUp = false;
		child = spawn(process.execPath, ['--require', stepClockModule, `--max-old-space-size=${memoryMb}`, programFile, 'gateway', '--settings', file], {stdio: ['ignore', 'pipe', 'pipe']});
		child.stdout!.once('data', () => {
			isUp = true;
		}).pipe(log, {end: false});
		child.stderr!.pipe(log, {end: false});
		child.on('exit', () => {
			if (hasStopped) {
				return;
			}

			if (!isExitExpected) {
				onUnexpectedExit(name);
			}

			setTimeout(() => {
				if (!hasStopped) {
					start();
				}
			}, restartMs);
		});
	};

	writeSettings({});
	start();
	return {
		name,
		callers: settings.callers as string,
		readiness: settings.readiness as string,
		pid: () => child.pid ?? 0,
		sendSignal(signal) {
			isExitExpected ||= signal === 'SIGTERM' || signal === 'SIGKILL';
			if (isUp || !handledSignals.has(signal)) {
				child.kill(signal);
			}
		},
		writeSettings,
		stop() {
			hasStopped = true;
			child.kill('SIGKILL');
			log.end();
		},
	};
}
