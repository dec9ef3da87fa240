import {expect, test} from 'vitest';
import {preferWithRoom} from '../../../src/decide/pace/prefer-with-room.js';

// Guards against claims at upstreams that start and are at their limit while others have room, and against a request left without any.
test.each([
	['limits are not reached', [[1, 4], [0, undefined]], [0, 1]],
	['one is at its limit', [[4, 4], [9, undefined]], [1]],
	['all are at their limits', [[4, 4], [5, 4]], [0, 1]],
] as ReadonlyArray<readonly [string, ReadonlyArray<readonly [number, number | undefined]>, readonly number[]]>)('candidates where %s', (_name, loads, expected) => {
	const candidates = loads.map(([inFlight, limit], index) => ({
		index, view: {inFlight, pace: limit === undefined ? undefined : {limit, isLimited: true}},
	}));
	expect(preferWithRoom(candidates).map(({index}) => index)).toEqual(expected);
});
