import {describe, expect, test} from 'vitest';
import {createDomainReachability} from '../../../src/decide/forwarding/create-domain-reachability.js';

type Event = readonly [atMs: number, kind: 'contact' | 'connect-failure', upstream?: string];

const cases: ReadonlyArray<readonly [name: string, events: readonly Event[], atMs: number, isPartitioned: boolean]> = [
	['no connection has failed', [], 0, false],
	['connections to one upstream fail', [[0, 'connect-failure', 'i-1'], [100, 'connect-failure', 'i-1']], 200, false],
	['connections to two upstreams fail', [[0, 'connect-failure', 'i-1'], [100, 'connect-failure', 'i-2']], 200, true],
	['there is contact between the failures', [[0, 'connect-failure', 'i-1'], [50, 'contact'], [100, 'connect-failure', 'i-2']], 200, false],
	['there is contact after the failures', [[0, 'connect-failure', 'i-1'], [100, 'connect-failure', 'i-2'], [150, 'contact']], 200, false],
	['the last failure is too old', [[0, 'connect-failure', 'i-1'], [100, 'connect-failure', 'i-2']], 2200, false],
	['the failures are too far apart', [[0, 'connect-failure', 'i-1'], [2500, 'connect-failure', 'i-2']], 2600, false],
];

describe('the partition state of a failure domain', () => {
	test.each(cases)('is as expected when %s', (_name, events, atMs, isPartitioned) => {
		const reachability = createDomainReachability();
		for (const [at, kind, upstream] of events) {
			if (kind === 'contact') {
				reachability.recordContact('domain-b', at);
			} else {
				reachability.recordConnectFailure('domain-b', upstream!, at);
			}
		}

		expect(reachability.isPartitioned('domain-b', atMs)).toBe(isPartitioned);
		expect(reachability.isPartitioned('domain-a', atMs)).toBe(false);
	});
});
