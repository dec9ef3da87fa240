import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import process from 'node:process';

const programFile = 'dist/hemlockpier.cjs';

/** A running process of the bundled program. */
export type TestProcess = {
	readonly child: ChildProcess;
	/** Output lines so far; those of standard error start with `stderr: `. */
	readonly lines: readonly string[];
	/** Returns the first line for which `test` is true; if there is none yet, waits for one on standard output. */
	readonly waitForLine: (test: (line: string) => boolean) => Promise<string>;
	/** Waits until the process exits and returns its exit code. */
	readonly waitForExit: () => Promise<number | null>;
};

/** Starts the bundled program with `args`; `nodeArgs` go to the runtime. */
export function startProcess(args: readonly string[], nodeArgs: readonly string[] = []): TestProcess {
	const child = spawn(process.execPath, [...nodeArgs, programFile, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
	const lines: string[] = [];
	const lineListeners = new Set<(line: string) => void>();
	createInterface({input: child.stdout}).on('line', line => {
		lines.push(line);
		for (const listener of lineListeners) {
			listener(line);
		}
	});
	createInterface({input: child.stderr}).on('line', line => {
		lines.push(`stderr: ${line}`);
	});
	return {
		child,
		lines,
		waitForLine: async test => new Promise(resolve => {
			const known = lines.find(line => test(line));
			if (known !== undefined) {
				resolve(known);
				return;
			}

			const listener = (line: string): void => {
				if (test(line)) {
					lineListeners.delete(listener);
					resolve(line);
				}
			};

			lineListeners.add(listener);
		}),
		async waitForExit() {
			if (child.exitCode === null && child.signalCode === null) {
				await once(child, 'exit');
			}

			return child.exitCode;
		},
	};
}
