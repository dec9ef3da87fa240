import {setTimeout as delay} from 'node:timers/promises';

/** Waits for a number of milliseconds. */
export async function sleep(ms) {
	await delay(ms);
}
