// Guards against limits that do not leave room for one request of the largest size, or exceed the machine.
import {describe, expect, test} from 'vitest';
import {deriveConnectionLimits} from '../../../src/decide/bodies/derive-connection-limits.js';
import {deriveMemoryLimits} from '../../../src/decide/bodies/derive-memory-limits.js';
import {isBodyTooSlow} from '../../../src/decide/bodies/is-body-too-slow.js';
import {selectConnectionToClose} from '../../../src/decide/bodies/select-connection-to-close.js';

const mib = 1024 * 1024;

describe('limits that follow from a machine', () => {
	test.each([
		[160, 24, 12], [350, 119, 32], [602, 245, 32], [64, 16, 8],
	])('of %d MiB, %d MiB are held for callers, of which responses keep %d MiB', (memory, held, responses) => {
		expect(deriveMemoryLimits(memory * mib)).toEqual({heldBytes: held * mib, responseBytes: responses * mib});
	});

	test.each([
		[4100, 160, 1950], [4100, 602, 1950], [10_933, 602, 5366], [10_933, 160, 2560], [256, 160, 64],
	])('of %d descriptors and %d MiB, callers get %d connections, and a quarter of the descriptors remain', (descriptors, memory, callers) => {
		const limits = deriveConnectionLimits(descriptors, memory * mib);
		expect(limits.callers).toBe(callers);
		expect(limits.callers + limits.relayed + limits.peers + (2 * limits.status)).toBeLessThanOrEqual(descriptors * 0.8);
	});
});

test.each([
	['within the idle time', 1, 15_000, false],
	['a byte now and then', 30, 420_000, true],
	['nothing, just past the idle time', 0, 15_001, true],
	['4 MiB at the least rate', 4 * mib, 527_000, false],
	['4 MiB below the least rate', 4 * mib, 528_000, true],
])('whether a body is too slow: %s', (_name, receivedBytes, elapsedMs, expected) => {
	expect(isBodyTooSlow({
		receivedBytes, elapsedMs, graceMs: 15_000, minBytesPerS: 8192,
	})).toBe(expected);
});

test.each([
	['no connection', [], undefined],
	['all have requests', ['busy', 'busy'], undefined],
	['the oldest idle one', ['busy', 'idle', 'idle'], 1],
	['a silent one before an older idle one', ['idle', 'busy', 'silent'], 2],
	['one that ends before a younger silent one', ['idle', 'ending', 'silent'], 1],
] as const)('which connection is closed for a new one: %s', (_name, uses, expected) => {
	expect(selectConnectionToClose(uses.keys(), index => uses[index]!)).toBe(expected);
});
