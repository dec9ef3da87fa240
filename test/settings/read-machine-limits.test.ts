import {expect, test} from 'vitest';
import {readMachineLimits} from '../../src/settings/read-machine-limits.js';

// Guards against closing callers' connections at a bound that is far below the machine's descriptors, because the system shows fewer than are stated.
test.each([
	[{memoryMb: 350, maxFds: 10_000_000}, {memoryBytes: 350 * 1024 * 1024, descriptors: 10_000_000}],
	[{memoryMb: 160, maxFds: 4100}, {memoryBytes: 160 * 1024 * 1024, descriptors: 4100}],
])('the stated limits %j hold', (stated, expected) => {
	expect(readMachineLimits(stated)).toEqual(expected);
});

test('without stated limits, what the process may use is taken', () => {
	const {memoryBytes, descriptors} = readMachineLimits({});
	expect(memoryBytes).toBeGreaterThan(0);
	expect(descriptors).toBeGreaterThan(0);
});
