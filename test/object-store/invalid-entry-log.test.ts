import {
	describe, expect, test, vi,
} from 'vitest';
import {createInvalidEntryLog} from '../../src/object-store/create-invalid-entry-log.js';
import {log} from '../../src/observe/log.js';

describe('the log of invalid entries', () => {
	test.each([
		['each name once', ['a', 'b', 'a', 'a', 'b'], ['a', 'b']],
		['a limited number of names', Array.from({length: 10_000}, (_, index) => String(index)), Array.from({length: 100}, (_, index) => String(index))],
	])('names %s', (_, entries, logged) => {
		const warn = vi.spyOn(log, 'warn').mockImplementation(() => undefined);
		const logInvalid = createInvalidEntryLog('upstreams');
		for (const entry of entries) {
			logInvalid(entry, 'address: not an address that can be dialled');
		}

		const lines = warn.mock.calls.map(([fields]) => fields as unknown as {readonly entry: string; readonly fault: string});
		warn.mockRestore();
		expect(lines.map(({entry}) => entry)).toEqual(logged);
		expect(lines[0]!.fault).toBe('address: not an address that can be dialled');
	});
});
