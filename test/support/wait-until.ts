import {sleep} from '../../src/util/sleep.js';

const stepMs = 50;

/** Waits until `test` holds; fails after `limitMs`, which is a limit against hanging and not a measured bound. */
export async function waitUntil(what: string, test: () => Promise<boolean> | boolean, limitMs = 30_000): Promise<void> {
	const until = Date.now() + limitMs;
	for (;;) {
		let holds = false;
		try {
			holds = await test();
		} catch {
			// Not yet.
		}

		if (holds) {
			return;
		}

		if (Date.now() > until) {
			throw new Error(`waited in vain for ${what}`);
		}

		await sleep(stepMs);
	}
}
