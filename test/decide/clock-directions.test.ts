import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {canFreeStaleKv} from '../../src/decide/kv-cache/can-free-stale-kv.js';
import {canReadStoredKv} from '../../src/decide/kv-cache/can-read-stored-kv.js';
import {staleReadLimits} from '../../src/decide/kv-cache/stale-read-limits.js';
import {createRolloutLease} from '../../src/forwarding/create-rollout-lease.js';
import {type LeaseStore} from '../../src/object-store/lease-store.js';
import {type StoredObject} from '../../src/object-store/stored-object.js';
import {type Clocks} from '../../src/util/clocks.js';
import {createSuspendAwareClock} from '../../src/util/create-suspend-aware-clock.js';

const tickMs = 100;
/** Smaller jumps of the wall clock don't count as a suspension. */
const unseenMs = 200;
const leaseMs = 3000;
const transitMs = 300;

/** What happens to the machines of a run: time passes, a wall clock steps, a machine stands still. */
type ClockEvent = {readonly advanceMs: number} | {readonly stepMs: number; readonly host: number} | {readonly suspendMs: number; readonly host: number};

/** A machine whose clocks are driven by hand. */
function createMachine(now: () => number) {
	let wallOffset = 0;
	let suspended = 0;
	let resumesAt = 0;
	const monotonic = (): number => Math.max(now(), resumesAt) - suspended;
	const clocks: Clocks = {monotonic, suspendAware: createSuspendAwareClock(monotonic, () => now() + wallOffset)};
	return {
		clocks,
		step(ms: number) {
			wallOffset += ms;
		},
		suspend(ms: number) {
			if (now() >= resumesAt) {
				suspended += ms;
				resumesAt = now() + ms;
			}
		},
		isRunning: () => now() >= resumesAt,
	};
}

/** Prepares a run on machines; returns what each machine does in each tick in which it runs. */
type SetUp = (machines: ReadonlyArray<ReturnType<typeof createMachine>>, now: () => number) => (host: number) => Promise<void> | void;

/** Plays events on machines; `run` is called for each machine that runs, each tick. A clock is read between any two events. */
async function play(hosts: number, events: readonly ClockEvent[], setUp: SetUp): Promise<void> {
	let now = 0;
	const machines = Array.from({length: hosts}, () => createMachine(() => now));
	const run = setUp(machines, () => now);
	const advance = async (ms: number): Promise<void> => {
		for (const endsAt = now + ms; now < endsAt; now += tickMs) {
			for (const [host, machine] of machines.entries()) {
				if (machine.isRunning()) {
					machine.clocks.suspendAware();
					await run(host);
				}
			}
		}
	};

	for (const event of events) {
		if ('advanceMs' in event) {
			await advance(event.advanceMs);
		} else if ('stepMs' in event) {
			// A step while the machine stands still can hide the suspension: not claimed.
			if (machines[event.host]!.isRunning()) {
				machines[event.host]!.step(event.stepMs);
				await advance(tickMs);
			}
		} else {
			machines[event.host]!.suspend(event.suspendMs);
		}
	}

	await advance(30_000);
}

const eventOf = (hosts: number) => fc.oneof(
	fc.record({advanceMs: fc.integer({min: 1, max: 30}).map(ticks => ticks * tickMs)}),
	fc.record({stepMs: fc.integer({min: -5000, max: 5000}), host: fc.nat(hosts - 1)}),
	fc.record({suspendMs: fc.integer({min: 1, max: 60}).map(ticks => ticks * tickMs), host: fc.nat(hosts - 1)}),
);

const thereAndBack = (host: number, times: number): readonly ClockEvent[] =>
	Array.from({length: times}, () => [{stepMs: 2400, host}, {advanceMs: 500}, {stepMs: -2400, host}, {advanceMs: 500}]).flat();

/** The steps of the reviewed case, on the host that waits or on the one that acts; suspensions; both. */
const scenarios: ReadonlyArray<readonly [string, readonly ClockEvent[]]> = [
	['no event', []],
	['steps there and back at the first host', thereAndBack(0, 6)],
	['steps there and back at the second host', thereAndBack(1, 6)],
	['a step back at either host', [{stepMs: -4000, host: 0}, {stepMs: -4000, host: 1}]],
	['a suspended first host', [{advanceMs: 2000}, {suspendMs: 5000, host: 0}, {advanceMs: 6000}]],
	['a suspended second host', [{advanceMs: 2000}, {suspendMs: 5000, host: 1}, {advanceMs: 6000}]],
	['steps and suspensions', [...thereAndBack(0, 2), {suspendMs: 4000, host: 1}, {advanceMs: 5000}, ...thereAndBack(1, 3), {suspendMs: 4000, host: 0}, {advanceMs: 2000}]],
];

/** A wait for others that ends early frees memory that is read, or gives two hosts one right. */
describe('the clocks of a host', () => {
	const checkDirections = async (events: readonly ClockEvent[]): Promise<void> => play(1, events, ([machine], now) => {
		const began = {true: now(), held: machine!.clocks.suspendAware(), wait: machine!.clocks.monotonic()};
		return () => {
			const elapsed = now() - began.true;
			expect(machine!.clocks.monotonic() - began.wait, 'a wait').toBeLessThanOrEqual(elapsed);
			expect(machine!.clocks.suspendAware() - began.held, 'a right').toBeGreaterThanOrEqual(elapsed - unseenMs);
		};
	});

	test('err to the safe side only, whatever steps and suspensions come', async () => {
		await fc.assert(fc.asyncProperty(fc.array(eventOf(1), {maxLength: 16}), checkDirections), {seed: 47, numRuns: 150});
	});
});

describe('KV cache of replaced weights', () => {
	const checkReads = async (events: readonly ClockEvent[]): Promise<void> => {
		let lastReadAt = Number.NEGATIVE_INFINITY;
		let freedAt = Number.POSITIVE_INFINITY;
		await play(2, events, ([freeing, reading], now) => {
			const learned = {wait: freeing!.clocks.monotonic(), held: reading!.clocks.suspendAware()};
			return host => {
				if (host === 1 && canReadStoredKv({supersededAt: learned.held, confirmedAt: reading!.clocks.suspendAware()}, reading!.clocks.suspendAware())) {
					lastReadAt = now();
				}

				if (host === 0 && canFreeStaleKv([{ackedAt: learned.wait}], learned.wait, freeing!.clocks.monotonic())) {
					freedAt = Math.min(freedAt, now());
				}
			};
		});
		expect(freedAt - lastReadAt).toBeGreaterThanOrEqual(staleReadLimits.maxFetchMs);
	};

	test.each(scenarios)('is freed after the last fetch has ended: %s', async (_name, events) => {
		await checkReads(events);
	});

	test('is freed after the last fetch has ended, whatever steps and suspensions come', async () => {
		await fc.assert(fc.asyncProperty(fc.array(eventOf(2), {maxLength: 16}), checkReads), {seed: 47, numRuns: 150});
	});
});

describe('the roll-out lease', () => {
	const checkLease = async (events: readonly ClockEvent[]): Promise<void> => {
		let stored: StoredObject | undefined;
		const orders: Array<{readonly at: number; readonly host: number; readonly token: number}> = [];
		await play(3, events, (machines, now) => {
			const store: LeaseStore = {
				epoch: () => ({number: 0, since: Number.NEGATIVE_INFINITY}),
				read: async () => stored,
				async write(value, expected) {
					if (stored?.revision !== expected?.revision) {
						return undefined;
					}

					stored = {
						name: 'rollout', epoch: 0, revision: (stored?.revision ?? 0) + 1, value,
					};
					return stored;
				},
			};
			const leases = machines.map(({clocks}, host) => createRolloutLease({
				self: `h-${host}`, run: `h-${host}`, store, others: () => [0, 1, 2].filter(other => other !== host).map(other => `h-${other}`), leaseMs, clocks,
			}));
			return async host => {
				await leases[host]!.acquireOrRenew(0);
				const token = leases[host]!.token();
				if (token !== undefined) {
					leases[host]!.recordOrder();
					orders.push({at: now(), host, token});
				}
			};
		});
		const hostByToken = new Map<number, number>();
		for (const [index, {at, host, token}] of orders.entries()) {
			const previous = orders[index - 1];
			expect(hostByToken.get(token) ?? host, `token ${token} at ${at} ms`).toBe(host);
			hostByToken.set(token, host);
			if (previous && previous.host !== host) {
				expect(at - previous.at, `hosts ${previous.host} and ${host} at ${at} ms`).toBeGreaterThan(leaseMs + transitMs - unseenMs);
			}
		}
	};

	test.each(scenarios)('has one holder at a time: %s', async (_name, events) => {
		await checkLease([{advanceMs: 3000}, ...events]);
	});

	test('has one holder at a time, whatever steps and suspensions come', async () => {
		await fc.assert(fc.asyncProperty(fc.array(eventOf(3), {maxLength: 16}), checkLease), {seed: 47, numRuns: 100});
	});
});
