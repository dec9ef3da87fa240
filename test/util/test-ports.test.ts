import {describe, expect, test} from 'vitest';
import {testPortRange} from '../support/test-port-range.js';

/** Takes the place of the network: what gets here is not refused. */
const dispatcher = {
	dispatch() {
		throw new Error('dispatched');
	},
};

async function isRefused(port: number): Promise<boolean> {
	try {
		await fetch(`http://127.0.0.1:${port}/`, {dispatcher} as unknown as RequestInit);
	} catch (error) {
		return (error as Error & {readonly cause: Error}).cause.message !== 'dispatched';
	}

	return false;
}

describe('the ports of tests', () => {
	// Guards against hosts that never seem ready: fetch refuses some ports, as 10080, without asking anybody.
	test('are none that fetch refuses', async () => {
		const ports = Array.from({length: testPortRange.count}, (_, index) => testPortRange.first + index);
		const refused = await Promise.all(ports.map(async port => isRefused(port)));
		expect(ports.filter((_, index) => refused[index])).toEqual([]);
	});

	test('do not reach those of outgoing connections', () => {
		expect(testPortRange.first + testPortRange.count).toBeLessThanOrEqual(32_768);
	});
});
