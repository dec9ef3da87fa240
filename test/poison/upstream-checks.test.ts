// Guards against sound requests that count as crashing upstreams at a host that is cut off from all others: docs/incidents/crashes-that-nobody-can-confirm.md.
import {describe, expect, test} from 'vitest';
import {type Upstream} from '../../src/forwarding/upstream.js';
import {createCrashChecker} from '../../src/poison/create-crash-checker.js';
import {createUpstreamChecks} from '../../src/poison/create-upstream-checks.js';
import {type UpstreamOpinion} from '../../src/poison/upstream-opinion.js';
import {type KnownHost} from '../../src/reports/known-host.js';

const upstream: Upstream = {
	id: 'i-1', service: 's', address: 'a', domain: 'd', slots: 1, isLeaving: false, startedAt: 5, softwareVersion: 'v1', weights: new Map(),
};
const toHost = (index: number): KnownHost => ({host: `h-${index}`, peers: `h-${index}`}) as KnownHost;

type Case = {
	/** What the other hosts with a recent report say; `undefined` where one does not answer. */
	readonly opinions: ReadonlyArray<UpstreamOpinion | undefined>;
	/** Number of hosts that were heard within the last minute. */
	readonly heard: number;
	readonly isCutOff: boolean;
};

function createChecks({opinions, heard, isCutOff}: Case) {
	const alive = opinions.map((_opinion, index) => toHost(index));
	return createUpstreamChecks({
		engineClient: {isUp: async () => false},
		registry: {get: () => upstream},
		links: {confirmCutOff: async () => isCutOff, recordConnectFailure: () => undefined},
		alive: () => alive,
		listHeard: () => Array.from({length: heard}, (_value, index) => toHost(index)),
		async call(peers: string) {
			const opinion = opinions[alive.findIndex(host => host.peers === peers)];
			if (opinion === undefined) {
				throw new Error('unreachable');
			}

			return {opinion} as never;
		},
		random: () => 0.5,
	});
}

describe('what other hosts say of an upstream that this one can\'t reach', () => {
	test.each<readonly [string, Case, UpstreamOpinion]>([
		['one reaches it', {opinions: ['down', 'up', undefined], heard: 3, isCutOff: true}, 'up'],
		['one is sure that it is down', {opinions: ['unsure', 'down', undefined], heard: 3, isCutOff: true}, 'down'],
		['those that answer can\'t tell', {opinions: ['unsure', undefined], heard: 2, isCutOff: false}, 'unsure'],
		['no host answers, and this one reaches other upstreams', {opinions: [undefined, undefined], heard: 2, isCutOff: false}, 'nobody'],
		['no host answers, and this one reaches no upstream', {opinions: [undefined, undefined], heard: 2, isCutOff: true}, 'unsure'],
		['no host is heard any more, and this one reaches no upstream', {opinions: [], heard: 2, isCutOff: true}, 'unsure'],
		['there is no other host', {opinions: [], heard: 0, isCutOff: true}, 'nobody'],
	])('%s', async (_name, played, expected) => {
		expect(await createChecks(played).askOthers(upstream)).toBe(expected);
	});
});

test.each<readonly [string, Case, 'gone' | 'up' | 'down']>([
	['has not crashed where its host is cut off from everything', {opinions: [], heard: 2, isCutOff: true}, 'up'],
	['has crashed where other upstreams are reached', {opinions: [], heard: 2, isCutOff: false}, 'down'],
	['has crashed where there is no other host', {opinions: [], heard: 0, isCutOff: true}, 'down'],
])('an upstream whose response broke off, and which stays listed, %s', async (_name, played, expected) => {
	const check = createCrashChecker({
		engineClient: {isUp: async () => false}, registry: {get: () => upstream}, askOthers: createChecks(played).askOthers,
	});
	expect(await check(upstream, false)).toBe(expected);
}, 20_000);
