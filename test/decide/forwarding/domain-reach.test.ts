import {describe, expect, test} from 'vitest';
import {createDomainReachability} from '../../../src/decide/forwarding/create-domain-reachability.js';

type Event = readonly [atMs: number, kind: 'heard' | 'unreached', upstream?: string];

const cases: ReadonlyArray<readonly [name: string, events: readonly Event[], atMs: number, isPartitioned: boolean]> = [
	['nothing has failed', [], 0, false],
	['one upstream can not be reached', [[0, 'unreached', 'i-1'], [100, 'unreached', 'i-1']], 200, false],
	['two upstreams can not be reached', [[0, 'unreached', 'i-1'], [100, 'unreached', 'i-2']], 200, true],
	['something was heard in between', [[0, 'unreached', 'i-1'], [50, 'heard'], [100, 'unreached', 'i-2']], 200, false],
	['something is heard after the failures', [[0, 'unreached', 'i-1'], [100, 'unreached', 'i-2'], [150, 'heard']], 200, false],
	['the last failure is long ago', [[0, 'unreached', 'i-1'], [100, 'unreached', 'i-2']], 2200, false],
	['failures lie far apart', [[0, 'unreached', 'i-1'], [2500, 'unreached', 'i-2']], 2600, false],
];

describe('a failure domain', () => {
	test.each(cases)('counts as cut off or not when %s', (_name, events, atMs, isPartitioned) => {
		const reachability = createDomainReachability();
		for (const [at, kind, upstream] of events) {
			if (kind === 'heard') {
				reachability.recordContact('domain-b', at);
			} else {
				reachability.recordConnectFailure('domain-b', upstream!, at);
			}
		}

		expect(reachability.isPartitioned('domain-b', atMs)).toBe(isPartitioned);
		expect(reachability.isPartitioned('domain-a', atMs)).toBe(false);
	});
});
