import {expect, test} from 'vitest';
import {canOnlyBeUntold} from '../../src/decide/streams/can-only-be-untold.js';

test.each([
	['all hosts remember', [true, true, true], true],
	['one of many started again', [true, true, true, true, false], true],
	['one of two started again', [true, false], true],
	['there is one host, which remembers', [true], true],
	['two of four started again: each of them told two others, or none', [true, true, false, false], true],
	['two of three may have told each other', [true, false, false], false],
	['three of four may have told each other', [true, false, false, false], false],
	['three of seven started again', [true, true, true, true, false, false, false], true],
	['four of seven may have told each other', [true, true, true, false, false, false, false], false],
	['four of many started again', [...Array.from<boolean>({length: 20}).fill(true), false, false, false, false], true],
	['five of many may have told each other', [...Array.from<boolean>({length: 20}).fill(true), false, false, false, false, false], false],
	['there is one host, which started again', [false], false],
	['no host remembers', [false, false], false],
] as ReadonlyArray<readonly [string, readonly boolean[], boolean]>)('a stream that nobody knows: %s', (_name, remembering, expected) => {
	expect(canOnlyBeUntold(remembering.map(remembers => ({remembers})))).toBe(expected);
});
