// Guards against evacuations that a host misses, or that end or come back unasked, while the store or links fail.
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {adapter} from '../../platform/adapter.js';
import {createSimulatedStore} from '../support/create-simulated-store.js';
import {platformObjects} from '../support/platform-objects.js';
import {startStateHosts, type StateHost} from '../support/start-state-hosts.js';

vi.mock('../../src/util/sleep.js', () => ({
	sleep: async (ms: number) => new Promise(resolve => {
		setTimeout(resolve, ms);
	}),
}));

const domain = 'domain-b';
/** Time in virtual milliseconds that an acknowledged entry has to be in force everywhere. */
const evacuateMs = 5000;
const settleMs = 3000;
const {kinds} = adapter;

let fleet: ReturnType<typeof startStateHosts>;
let store: ReturnType<typeof createSimulatedStore>;

beforeEach(() => {
	vi.useFakeTimers();
	store = createSimulatedStore();
	fleet = startStateHosts(store, {hasEvacuations: true});
	store.put(kinds.configuration, 'main', platformObjects.configuration(1));
});

afterEach(() => {
	fleet.stop();
	vi.useRealTimers();
});

const put = (): void => {
	store.put(kinds.evacuations, domain, {});
};

const remove = (): void => {
	store.remove(kinds.evacuations, domain);
};

const wait = async (ms: number): Promise<void> => {
	await vi.advanceTimersByTimeAsync(ms);
};

const listEvacuating = (): readonly string[] => fleet.all().filter(({evacuations}) => evacuations.isEvacuated(domain)).map(({name}) => name);

/** Waits and returns the hosts at which the domain was ever in service meanwhile. */
async function listLapsed(hosts: readonly StateHost[], ms: number): Promise<readonly string[]> {
	const lapsed = new Set<string>();
	for (let at = 0; at < ms; at += 20) {
		await wait(20);
		for (const {name, evacuations} of hosts) {
			if (!evacuations.isEvacuated(domain)) {
				lapsed.add(name);
			}
		}
	}

	return [...lapsed];
}

const silentDelayMs = 1e9;

/** How the store fails a host. */
const outages: ReadonlyArray<readonly [string, (host: StateHost, delay: {ms: number}) => void]> = [
	['its calls fail', host => {
		host.links.store = false;
	}],
	['its calls get no response', (_host, delay) => {
		delay.ms = silentDelayMs;
	}],
];

describe('a host that the store does not answer', () => {
	test.each(outages.flatMap(([name, cut]) => [true, false].map(isWatching => [`${name}, ${isWatching ? 'watching' : 'not watching'}`, cut, isWatching] as const)))('learns of an entry and of its removal from its peers: %s', async (_name, cut, isWatching) => {
		const delay = {ms: 0};
		fleet.start('a', true);
		const host = fleet.start('b', isWatching, () => delay.ms);
		await wait(settleMs);
		cut(host, delay);
		await wait(settleMs);
		put();
		await wait(evacuateMs);
		expect(listEvacuating()).toEqual(['a', 'b']);
		remove();
		await wait(evacuateMs);
		expect(listEvacuating()).toEqual([]);
		expect(host.returned).toEqual([domain]);
	});

	test.each(outages)('knows the entries before it is ready, as it starts: %s', async (_name, cut) => {
		fleet.start('a', true);
		await wait(settleMs);
		put();
		await wait(1000);
		const delay = {ms: 0};
		const host = fleet.start('b', true, () => delay.ms);
		cut(host, delay);
		expect([host.evacuations.isKnown(), host.evacuations.isEvacuated(domain)]).toEqual([false, true]);
		expect(await listLapsed([host], evacuateMs)).toEqual([]);
		expect([host.evacuations.isKnown(), host.evacuations.isEvacuated('domain-a')]).toEqual([true, false]);
	});
});

describe('an entry', () => {
	test('is known to a host that starts before it is ready', async () => {
		put();
		const host = fleet.start('a', true);
		expect(await listLapsed([host], settleMs)).toEqual([]);
		expect(host.evacuations.isKnown()).toBe(true);
	});

	test('that is removed and set again within one call of the watch stays in force', async () => {
		const host = fleet.start('a', true);
		put();
		await wait(settleMs);
		remove();
		put();
		expect(await listLapsed([host], settleMs)).toEqual([]);
	});

	test('can be removed and set again at any number of hosts', async () => {
		fleet.start('a', true);
		fleet.start('b', false);
		for (let round = 1; round <= 3; round++) {
			put();
			await wait(settleMs);
			expect(listEvacuating()).toEqual(['a', 'b']);
			remove();
			await wait(settleMs);
			expect(listEvacuating()).toEqual([]);
			expect(fleet.all().map(({returned}) => returned.length)).toEqual([round, round]);
		}
	});

	test('that a host has never seen removed is removed also at one that was cut off meanwhile', async () => {
		fleet.start('a', true);
		const host = fleet.start('b', true);
		put();
		await wait(settleMs);
		host.links.store = false;
		host.links.peers = false;
		remove();
		await wait(settleMs);
		expect(listEvacuating()).toEqual(['b']);
		host.links.peers = true;
		await wait(evacuateMs);
		expect(listEvacuating()).toEqual([]);
	});
});

/** What the hosts meet when the store is back without the entry. */
const returns: ReadonlyArray<readonly [string, () => void]> = [
	['at a lower revision', () => undefined],
	['at a higher revision', () => {
		for (let index = 0; index < 40; index++) {
			store.put(kinds.upstreams, 'i-0', platformObjects.upstream('10.0.0.1:1', {seq: index}));
		}
	}],
];

async function loseEntry(write: () => void): Promise<void> {
	const copy = store.copy();
	put();
	await wait(1000);
	store.setAway(true);
	await wait(500);
	store.restore(copy);
	write();
	store.setAway(false);
}

describe('an entry that a returned store has lost', () => {
	test.each(returns)('stays in force, %s', async (_name, write) => {
		const hosts = [fleet.start('a', true), fleet.start('b', false), fleet.start('c', true)];
		await wait(settleMs);
		await loseEntry(write);
		expect(await listLapsed(hosts, 20_000)).toEqual([]);
	});

	test.each(returns.flatMap(([name, write]) => [true, false].map(isWatching => [`${name}, ${isWatching ? 'watching' : 'not watching'}`, write, isWatching] as const)))('is known to a host that starts later before it is ready: the store returned %s', async (_name, write, isWatching) => {
		fleet.start('a', true);
		await wait(settleMs);
		await loseEntry(write);
		await wait(2000);
		const late = fleet.start('late', isWatching);
		expect(await listLapsed([late], evacuateMs)).toEqual([]);
		expect(late.evacuations.isKnown()).toBe(true);
	});

	test.each(returns)('ends once it is written again and removed, also at a host that was cut off meanwhile and one that started, %s', async (_name, write) => {
		fleet.start('a', true);
		const cutOff = fleet.start('b', true);
		await wait(settleMs);
		await loseEntry(write);
		await wait(2000);
		cutOff.links.store = false;
		cutOff.links.peers = false;
		put();
		await wait(2000);
		expect(listEvacuating()).toEqual(['a', 'b']);
		remove();
		await wait(2000);
		fleet.start('late', true);
		await wait(2000);
		expect(listEvacuating()).toEqual(['b']);
		cutOff.links.store = true;
		await wait(2000);
		cutOff.links.peers = true;
		await wait(evacuateMs);
		expect(listEvacuating()).toEqual([]);
		expect(fleet.all().map(({returned}) => returned.length)).toEqual([1, 1, 0]);
	});

	test('ends once it is written again and removed within one call of the watch', async () => {
		const host = fleet.start('a', true);
		await wait(settleMs);
		await loseEntry(() => undefined);
		await wait(2000);
		put();
		remove();
		await wait(2000);
		expect(listEvacuating()).toEqual([]);
		expect(host.returned).toEqual([domain]);
	});

	test('is no reason for hosts to take state from each other without end', async () => {
		const hosts = [fleet.start('a', true), fleet.start('b', true), fleet.start('c', false)];
		await wait(settleMs);
		await loseEntry(() => undefined);
		await wait(evacuateMs);
		const answered = hosts.map(({answered: count}) => count());
		await wait(evacuateMs);
		expect(hosts.map(({answered: count}) => count())).toEqual(answered);
	});
});

test('an entry that was removed is in force again where the returned store lists it, and ends when that is removed', async () => {
	fleet.start('a', true);
	fleet.start('b', false);
	put();
	await wait(settleMs);
	const copy = store.copy();
	remove();
	await wait(1000);
	store.restore(copy);
	await wait(settleMs);
	expect(listEvacuating()).toEqual(['a', 'b']);
	remove();
	await wait(settleMs);
	expect(listEvacuating()).toEqual([]);
});

test('a deployment without evacuations makes no store call for them', async () => {
	fleet.stop();
	const calls: string[] = [];
	fleet = startStateHosts({
		...store,
		open(access) {
			const opened = store.open(access);
			return {
				...opened,
				async list(kind) {
					calls.push(kind);
					return opened.list(kind);
				},
				async watch(kind, from, waitMs, signal) {
					calls.push(kind);
					return opened.watch(kind, from, waitMs, signal);
				},
			};
		},
	});
	const host = fleet.start('a', true);
	put();
	await wait(settleMs);
	expect(calls).toContain(kinds.configuration);
	expect(calls).not.toContain(kinds.evacuations);
	expect([host.evacuations.isKnown(), host.evacuations.isEvacuated(domain)]).toEqual([true, false]);
});
