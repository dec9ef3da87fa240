import {sleep} from '../../src/util/sleep.js';

const pollMs = 50;

/** Waits until `condition` returns true; throws after `timeoutMs`, which only prevents hanging and is no bound under test. */
export async function waitUntil(description: string, condition: () => Promise<boolean> | boolean, timeoutMs = 30_000): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	for (;;) {
		let isMet = false;
		try {
			isMet = await condition();
		} catch {
			// An error counts as a condition that is not met yet.
		}

		if (isMet) {
			return;
		}

		if (Date.now() > deadline) {
			throw new Error(`timed out waiting for ${description}`);
		}

		await sleep(pollMs);
	}
}
