import {log} from '../observe/log.js';
import {getTickDelayMs} from './get-tick-delay-ms.js';

/**
Runs a task at each multiple of `intervalMs` of the process's clock, so that the periodic tasks of a host share its wake-ups. An error is
logged, and the task runs on.

@returns Ends the runs.
*/
export function every(intervalMs: number, task: string, run: () => void): () => void {
	let timer: NodeJS.Timeout | undefined;

	const schedule = (): void => {
		timer = setTimeout(runOnce, getTickDelayMs(performance.now(), intervalMs));
	};

	const runOnce = (): void => {
		schedule();
		try {
			run();
		} catch (error) {
			log.error({task, error: String((error as Error).stack)}, 'periodic task failed, running on');
		}
	};

	schedule();
	return () => {
		clearTimeout(timer);
	};
}
