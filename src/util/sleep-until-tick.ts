import {getTickDelayMs} from './get-tick-delay-ms.js';
import {sleep} from './sleep.js';

/** Ends at the next multiple of `tickMs` of the process's clock, so that loops that wait for it share their wake-ups. */
export async function sleepUntilTick(tickMs: number): Promise<void> {
	await sleep(getTickDelayMs(performance.now(), tickMs));
}
