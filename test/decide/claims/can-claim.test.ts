import {expect, test} from 'vitest';
import {canClaim} from '../../../src/decide/claims/can-claim.js';

// Guards against claims on hosts whose processor they use up.
test.each([
	[{}, true],
	[{cpuShare: 0.756, cores: 1}, true],
	[{cpuShare: 0.25, cores: 2}, true],
	[{cpuShare: 0.324, cores: 1}, false],
	[{cpuShare: 0.12}, false],
])('a host with %j claims: %s', (limits, expected) => {
	expect(canClaim(limits)).toBe(expected);
});
