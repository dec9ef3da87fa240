// Guards against a host that becomes ready before it has asked others for entries that a returned store has lost, and one that waits without end.
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {createPeerConfirmation} from '../../src/evacuations/create-peer-confirmation.js';

vi.mock('../../src/util/sleep.js', () => ({
	sleep: async (ms: number) => new Promise(resolve => {
		setTimeout(resolve, ms);
	}),
}));

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

describe('a host that starts', () => {
	test.each([
		['no other host', 0, 0, [true, true]],
		['one that answers late', 1, 100, [false, true]],
		['many that never answer', 30, 1e9, [false, true]],
	] as const)('has asked once the hosts have answered or had time to: %s', async (_name, count, delayMs, expected) => {
		const asked: string[] = [];
		const confirmation = createPeerConfirmation({
			listHosts: () => Array.from({length: count}, (_, index) => ({peers: `host-${index}`})),
			async pull(address) {
				asked.push(address);
				await new Promise(resolve => {
					setTimeout(resolve, delayMs);
				});
			},
			random: () => 0.5,
		});
		expect(confirmation.hasAsked()).toBe(false);
		confirmation.start();
		confirmation.start();
		await vi.advanceTimersByTimeAsync(0);
		const atOnce = confirmation.hasAsked();
		await vi.advanceTimersByTimeAsync(1000);
		expect([atOnce, confirmation.hasAsked()]).toEqual(expected);
		expect(asked).toHaveLength(Math.min(count, 4));
	});
});
