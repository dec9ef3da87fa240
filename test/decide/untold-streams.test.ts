// Guards against a stream that goes on at another version, or nowhere, after hosts were cut off and killed: docs/incidents/streams-of-several-lost-hosts.md.
import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {rankOwners} from '../../src/decide/membership/rank-owners.js';
import {canOnlyBeUntold} from '../../src/decide/streams/can-only-be-untold.js';
import {canTellOthers} from '../../src/decide/streams/can-tell-others.js';
import {streamCopies} from '../../src/decide/streams/stream-copies.js';

type Host = {readonly name: string; readonly island: number; readonly hasForgotten: boolean};

const recentMs = 50;
const silentMs = 5000;

/** Hosts of up to three islands that don't hear each other; some are silent or start again after streams have begun. */
const system = fc.array(fc.record({island: fc.nat({max: 2}), hasForgotten: fc.boolean()}), {minLength: 1, maxLength: 30})
	.map(hosts => hosts.map((host, index): Host => ({...host, name: `h-${index}`})));

/** Returns the hosts that know a stream of the newer version, or `undefined` where it can only begin at the oldest. */
function beginNewer(host: Host, hosts: readonly Host[], id: string): readonly Host[] | undefined {
	const others = hosts.filter(other => other !== host);
	const reached = others.filter(({island}) => island === host.island);
	const heardAgesMs = others.map(other => reached.includes(other) ? recentMs : silentMs);
	if (!canTellOthers({heardAgesMs, inReach: reached.length, confirmedAgeMs: recentMs})) {
		return undefined;
	}

	const told = new Set(rankOwners(reached.map(({name}) => name), id).slice(0, streamCopies.most));
	return [host, ...reached.filter(({name}) => told.has(name))];
}

test('a stream that nobody knows and that goes on at the oldest version began there (property)', () => {
	fc.assert(fc.property(system, hosts => {
		const concludes = canOnlyBeUntold(hosts.map(({hasForgotten}) => ({remembers: !hasForgotten})));
		for (const [index, host] of hosts.entries()) {
			const knowing = beginNewer(host, hosts, `r-${index}`) ?? [];
			const isUnknown = knowing.every(({hasForgotten}) => hasForgotten);
			expect(concludes && knowing.length > 0 && isUnknown).toBe(false);
		}
	}), {seed: 70, numRuns: Number(process.env.STREAM_RUNS ?? 500)});
});

test.each([
	['one of two', 2, 1, true],
	['one of three', 3, 1, true],
	['two of four', 4, 2, true],
	['three of eight', 8, 3, true],
	['four of eight', 8, 4, true],
	['five of eight', 8, 5, false],
	['four of 84', 84, 4, true],
	['a domain of 84', 84, 21, false],
] as const)('streams of %s hosts that were cut off and killed', (_name, count, killed, goOn) => {
	expect(canOnlyBeUntold(Array.from({length: count}, (_, index) => ({remembers: index >= killed})))).toBe(goOn);
});
