import {expect, test} from 'vitest';
import {canOnlyBeUntold} from '../../src/decide/streams/can-only-be-untold.js';

test.each([
	['all hosts remember', [true, true, true], true],
	['one of many started again', [true, true, true, true, false], true],
	['one of two started again', [true, false], true],
	['there is one host, which remembers', [true], true],
	['two may have told each other', [true, true, false, false], false],
	['there is one host, which started again', [false], false],
	['no host remembers', [false, false], false],
] as const)('a stream that nobody knows: %s', (_name, remembering, expected) => {
	expect(canOnlyBeUntold(remembering.map(remembers => ({remembers})))).toBe(expected);
});
