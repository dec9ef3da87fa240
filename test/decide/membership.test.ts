import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createGossipTable} from '../../src/decide/membership/create-gossip-table.js';
import {createMembership} from '../../src/decide/membership/create-membership.js';
import {type GossipEntry} from '../../src/decide/membership/gossip-entry.js';
import {type GossipTable} from '../../src/decide/membership/gossip-table.js';
import {type Member} from '../../src/decide/membership/member.js';
import {type MembershipAction} from '../../src/decide/membership/membership-action.js';
import {type Membership} from '../../src/decide/membership/membership.js';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';

const makeSelf = (name: string, domain: string): Member => ({
	name, domain, region: 'r', peers: `${name}:1`, operators: `${name}:2`, incarnation: 1, state: 'alive',
});

/** Creates a simulated network of hosts: messages arrive at once, except across a cut, or from or to an unresponsive host. */
function createNetwork(names: ReadonlyArray<readonly [string, string]>, seed: number) {
	const random = createSeededRandom(seed);
	const hosts = new Map<string, {readonly gossip: GossipTable; readonly membership: Membership; readonly domain: string}>();
	const unresponsive = new Set<string>();
	const cuts = new Set<string>();
	let now = 0;
	for (const [name, domain] of names) {
		const gossip = createGossipTable();
		hosts.set(name, {gossip, domain, membership: createMembership(makeSelf(name, domain), gossip, 0, {random})});
	}

	const canReach = (from: string, to: string): boolean => !unresponsive.has(from) && !unresponsive.has(to)
		&& !cuts.has(`${from}>${to}`) && !cuts.has(`${to}>${from}`);

	const exchange = (from: string, to: string): void => {
		const one = hosts.get(from)!;
		const two = hosts.get(to)!;
		for (const section of new Set([...Object.keys(one.gossip.vector(now)), ...Object.keys(two.gossip.vector(now))])) {
			const entries = one.gossip.entries(section, now);
			two.membership.onEntries(section, entries, now);
			one.membership.onEntries(section, two.gossip.entries(section, now), now);
		}
	};

	const act = (name: string, actions: readonly MembershipAction[]): void => {
		const {membership} = hosts.get(name)!;
		for (const action of actions) {
			if (action.kind === 'probe') {
				const target = action.target.name;
				if (canReach(name, target)) {
					exchange(name, target);
					act(name, membership.onAnswered(target, now));
				} else {
					act(name, membership.onProbeFailed(target, now));
				}
			} else if (action.kind === 'probe-through') {
				const target = action.target.name;
				const isReachedIndirectly = action.helpers.some(helper => canReach(name, helper.name) && canReach(helper.name, target));
				act(name, isReachedIndirectly ? membership.onAnswered(target, now) : membership.onUnreachable(target, now));
			}
		}
	};

	const exchangeWithFirst = (): void => {
		const [first] = hosts.keys();
		for (const name of hosts.keys()) {
			exchange(name, first!);
		}
	};

	exchangeWithFirst();
	return {
		hosts, unresponsive, cuts,
		run(seconds: number) {
			for (let second = 0; second < seconds; second++) {
				now += 1000;
				for (const [name, {membership}] of hosts) {
					if (!unresponsive.has(name)) {
						act(name, membership.tick(now));
					}
				}
			}
		},
		states: (observer: string) => Object.fromEntries(hosts.get(observer)!.membership.members(now).map(member => [member.name, member.state])),
	};
}

const twoDomains: ReadonlyArray<readonly [string, string]> = [
	...[...'abcd'].map((name): readonly [string, string] => [name, 'one']),
	...[...'pqrs'].map((name): readonly [string, string] => [name, 'two']),
];

describe('membership', () => {
	it.each([1, 2, 3])('agrees that all hosts are alive (seed %i)', seed => {
		const network = createNetwork(twoDomains, seed);
		network.run(10);
		for (const name of network.hosts.keys()) {
			expect(new Set(Object.values(network.states(name)))).toEqual(new Set(['alive']));
			expect(Object.keys(network.states(name))).toHaveLength(8);
		}
	});

	it.each([1, 2, 3])('detects a dead host in its domain and informs the other domains (seed %i)', seed => {
		const network = createNetwork(twoDomains, seed);
		network.run(5);
		network.unresponsive.add('b');
		network.run(12);
		for (const name of ['a', 'c', 'd', 'p', 'q', 'r', 's']) {
			expect(network.states(name).b).toBe('dead');
			expect(Object.values(network.states(name)).filter(state => state === 'alive')).toHaveLength(7);
		}
	});

	it('distinguishes a cut between two hosts from a dead host', () => {
		const network = createNetwork(twoDomains, 4);
		network.run(5);
		network.cuts.add('a>b');
		network.run(20);
		expect(network.states('a').b).toBe('alive');
		expect(network.states('c').b).toBe('alive');
	});

	it('does not declare hosts of another domain dead during a partition', () => {
		const network = createNetwork(twoDomains, 5);
		network.run(5);
		for (const local of ['a', 'b', 'c', 'd']) {
			for (const remote of ['p', 'q', 'r', 's']) {
				network.cuts.add(`${local}>${remote}`);
			}
		}

		network.run(60);
		expect(network.states('a').p).toBe('alive');
		network.cuts.clear();
		network.unresponsive.add('p');
		network.run(20);
		expect(network.states('a').p).toBe('dead');
	});

	it('lets a host that was paused rejoin with a new incarnation', () => {
		const network = createNetwork(twoDomains, 6);
		network.run(5);
		network.unresponsive.add('c');
		network.run(12);
		expect(network.states('a').c).toBe('dead');
		network.unresponsive.delete('c');
		network.run(8);
		expect(network.states('a').c).toBe('alive');
		expect(network.states('s').c).toBe('alive');
		expect(network.hosts.get('c')!.membership.self().incarnation).toBeGreaterThan(1);
	});

	it('reunites the two sides of a domain after a partition', () => {
		const network = createNetwork(twoDomains, 7);
		network.run(5);
		for (const one of ['a', 'b']) {
			for (const other of ['c', 'd', 'p', 'q', 'r', 's']) {
				network.cuts.add(`${one}>${other}`);
			}
		}

		network.run(20);
		expect(network.states('a')).toMatchObject({b: 'alive', c: 'dead', d: 'dead'});
		network.cuts.clear();
		network.run(25);
		for (const name of network.hosts.keys()) {
			expect(new Set(Object.values(network.states(name)))).toEqual(new Set(['alive']));
		}
	});

	it('detects that its own process was paused', () => {
		const gossip = createGossipTable();
		const membership = createMembership(makeSelf('a', 'one'), gossip, 0, {random: createSeededRandom(8)});
		expect(membership.tick(1000)).toEqual([]);
		expect(membership.tick(9000)[0]).toMatchObject({kind: 'long-pause', pausedMs: 8000});
		expect(membership.self().incarnation).toBe(9000);
	});
});

describe('gossip sections', () => {
	it('converge to the same state in any order of messages', () => {
		const entry = fc.record({id: fc.constantFrom('a', 'b', 'c'), version: fc.nat(20)}).map(({id, version}): GossipEntry => ({id, version, value: version}));
		fc.assert(fc.property(fc.array(entry), fc.integer(), (entries, seed) => {
			const random = createSeededRandom(seed);
			const one = createGossipTable();
			const two = createGossipTable();
			for (const each of entries) {
				one.merge('s', [each], 0);
			}

			two.merge('s', entries.map(each => ({each, order: random()})).toSorted((a, b) => a.order - b.order).map(({each}) => each), 0);
			for (const each of entries) {
				two.merge('s', [each], 0);
			}

			expect(one.digest(0)).toBe(two.digest(0));
		}), {seed: 61});
	});

	it('drop expired entries and do not accept them again', () => {
		const one = createGossipTable();
		one.merge('s', [{
			id: 'a', version: 1, value: 1, expiresAt: 10,
		}], 0);
		expect(one.entries('s', 9)).toHaveLength(1);
		expect(one.entries('s', 10)).toHaveLength(0);
		expect(one.digest(11)).toBe(createGossipTable().digest(11));
		expect(one.merge('s', [{
			id: 'a', version: 1, value: 1, expiresAt: 10,
		}], 12)).toEqual([]);
	});
});
