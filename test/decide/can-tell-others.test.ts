import {expect, test} from 'vitest';
import {canTellOthers} from '../../src/decide/streams/can-tell-others.js';

const inTouch = {heardAgesMs: [50, 60, 90], inReach: 3, confirmedAgeMs: 100};
const alone = {heardAgesMs: [401, 500, 600], inReach: 0};
const longAlone = {heardAgesMs: [10_001, 10_001, 20_000], inReach: 0};
const fleet = Array.from({length: 83}, () => 300);

test.each([
	['hears others, and the store responds', {}, true],
	['hears others, and the store does not respond', {confirmedAgeMs: 60_000}, true],
	['has never heard another one', {heardAgesMs: [], inReach: 0}, true],
	['has never heard another one, and the store does not respond', {heardAgesMs: [], inReach: 0, confirmedAgeMs: undefined}, true],
	['hears others, none of which hears it', {inReach: 0}, false],
	['hears three others, one of which hears it', {inReach: 1}, false],
	['hears three others, two of which hear it', {inReach: 2}, true],
	['hears one of three others', {heardAgesMs: [50, 401, 500], inReach: 1}, false],
	['hears one of two others', {heardAgesMs: [50, 401], inReach: 1}, true],
	['hears the only other one', {heardAgesMs: [50], inReach: 1}, true],
	['does not hear the only other one', {heardAgesMs: [401], inReach: 0}, false],
	['hears three of 83 others', {heardAgesMs: fleet, inReach: 3}, false],
	['hears four of 83 others', {heardAgesMs: fleet, inReach: 4}, true],
	['hears nobody, which the store may not have shown yet', alone, false],
	['hears nobody while the store responds', {...alone, heardAgesMs: [9000, 9000, 9000]}, false],
	['has heard nobody for so long that they are gone, while the store responds', longAlone, true],
	['has heard nobody for so long, and the store does not respond', {...longAlone, confirmedAgeMs: 2001}, false],
	['has heard nobody for so long, and the store never responded', {...longAlone, confirmedAgeMs: undefined}, false],
	['hears one other, and two are gone, while the store responds', {heardAgesMs: [50, 10_001, 10_001], inReach: 1}, true],
	['hears one other, and two have been silent for long, while the store does not respond', {heardAgesMs: [50, 10_001, 10_001], inReach: 1, confirmedAgeMs: 2001}, false],
] as const)('a host that %s', (_name, changed, expected) => {
	expect(canTellOthers({...inTouch, ...changed})).toBe(expected);
});
