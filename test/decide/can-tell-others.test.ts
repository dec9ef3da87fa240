import {expect, test} from 'vitest';
import {canTellOthers} from '../../src/decide/streams/can-tell-others.js';

const inTouch = {
	heardAgeMs: 50, silentAfterMs: 400, isUnheard: false, confirmedAgeMs: 100,
};

test.each([
	['hears others, and the store responds', {}, true],
	['hears others, and the store does not respond', {confirmedAgeMs: 60_000}, true],
	['has never heard another one', {heardAgeMs: undefined}, true],
	['has never heard another one, and the store does not respond', {heardAgeMs: undefined, confirmedAgeMs: undefined}, true],
	['hears others, none of which hears it', {isUnheard: true}, false],
	['has missed some reports', {heardAgeMs: 400}, true],
	['hears nobody, which the store may not have shown yet', {heardAgeMs: 401}, false],
	['hears nobody while the store responds', {heardAgeMs: 9000}, false],
	['has heard nobody for so long that they are gone, while the store responds', {heardAgeMs: 10_001}, true],
	['has heard nobody for so long, and the store does not respond', {heardAgeMs: 10_001, confirmedAgeMs: 2001}, false],
	['has heard nobody for so long, and the store never responded', {heardAgeMs: 10_001, confirmedAgeMs: undefined}, false],
] as const)('a host that %s', (_name, changed, expected) => {
	expect(canTellOthers({...inTouch, ...changed})).toBe(expected);
});
