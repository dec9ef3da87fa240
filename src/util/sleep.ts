import {setTimeout as delay} from 'node:timers/promises';
import {toDelayMs} from './to-delay-ms.js';

/** Waits `ms` milliseconds; returns early, without an error, when `signal` is aborted. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
	try {
		await delay(toDelayMs(ms), undefined, signal ? {signal} : {});
	} catch {
		// The signal was aborted, which ends the wait.
	}
}
