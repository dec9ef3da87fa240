import {sleep} from '../../src/util/sleep.js';

const pollMs = 50;

/** Waits until `test` holds; fails after `limitMs`, which is a limit against hanging and not a measured bound. */
export async function waitUntil(description: string, condition: () => Promise<boolean> | boolean, timeoutMs = 30_000): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	for (;;) {
		let isMet = false;
		try {
			isMet = await condition();
		} catch {
			// Not yet.
		}

		if (isMet) {
			return;
		}

		if (Date.now() > deadline) {
			throw new Error(`waited in vain for ${description}`);
		}

		await sleep(pollMs);
	}
}
