import {sleep} from '../../src/util/sleep.js';

const pollMs = 50;

/**
Waits until `condition` returns true; throws after `timeoutMs`, which only prevents hanging and is no bound under test. The error tells a condition
that is not met from a process that stood still: it says how often the condition was checked, and how long the longest check and pause took.

@param describe - Returns what is known of the condition, for the error.
*/
export async function waitUntil(description: string, condition: () => Promise<boolean> | boolean, timeoutMs = 30_000, describe?: () => string): Promise<void> {
	// Not the time of day, which may be set meanwhile.
	const startedAt = performance.now();
	let checks = 0;
	let longestCheckMs = 0;
	let longestPauseMs = 0;
	let lastError: unknown;
	for (;;) {
		const checkedAt = performance.now();
		let isMet = false;
		try {
			isMet = await condition();
		} catch (error) {
			// An error counts as a condition that is not met yet.
			lastError = error;
		}

		if (isMet) {
			return;
		}

		checks++;
		const pausedAt = performance.now();
		longestCheckMs = Math.max(longestCheckMs, pausedAt - checkedAt);
		if (pausedAt - startedAt > timeoutMs) {
			throw new Error([
				`timed out waiting for ${description}`,
				`${Math.round(pausedAt - startedAt)} ms, ${checks} checks of ${Math.round(longestCheckMs)} ms at most, pauses of ${Math.round(longestPauseMs)} ms at most`,
				...describe ? [describe()] : [],
			].join('; '), {cause: lastError});
		}

		await sleep(pollMs);
		longestPauseMs = Math.max(longestPauseMs, performance.now() - pausedAt);
	}
}
