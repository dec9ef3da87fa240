import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createEngineQueue} from '../../src/decide/grants/create-engine-queue.js';
import {type SlotRequest} from '../../src/decide/grants/slot-request.js';
import {type GrantAction} from '../../src/decide/grants/grant-action.js';

const makeSlotRequest = (id: string, overrides: Partial<SlotRequest> = {}): SlotRequest => ({
	id, engine: 'e', host: 'h1', leftMs: 10_000, keys: [], alone: false, resumed: false, prefillTokens: 0,
	service: 's', serviceWeight: 1, workspace: 'w', workspaceWeight: 1, cost: 100, ...overrides,
});

const makeQueue = (slots = 2, queueLimit = 100, openAt = 0) => createEngineQueue({
	slots, queueLimit, openAt, prefillTokensPerS: 10_000, random: () => 0,
});

const formatActions = (actions: readonly GrantAction[]): readonly string[] => actions.map(action =>
	`${action.kind} ${action.ask.id}${action.kind === 'refuse' ? ` ${action.reason}` : ''}`);

describe('the queue of an engine', () => {
	it('answers every request exactly once and never grants more than its slots', () => {
		const step = fc.record({
			what: fc.constantFrom('ask', 'release', 'withdraw', 'tick', 'leave', 'stop-leaving', 'check-hosts'),
			pick: fc.nat(30), alone: fc.boolean(), wait: fc.nat(3000), host: fc.nat(2),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 120}), steps => {
			const queue = makeQueue(3, 8);
			const requested = new Set<string>();
			const answered = new Set<string>();
			const running = new Map<string, boolean>();
			let now = 0;
			const recordActions = (actions: readonly GrantAction[]): void => {
				for (const action of actions) {
					expect(answered.has(action.ask.id)).toBe(false);
					expect(requested.has(action.ask.id)).toBe(true);
					answered.add(action.ask.id);
					if (action.kind === 'grant') {
						running.set(action.ask.id, action.ask.alone);
					}
				}
			};

			for (const [index, {what, pick, alone, wait, host}] of steps.entries()) {
				now += wait;
				const unrequestedId = `a${pick}`;
				switch (what) {
					case 'ask': {
						const request = makeSlotRequest(`a${index + 100}`, {alone, host: `h${host}`});
						requested.add(request.id);
						recordActions(queue.ask(request, now));
						break;
					}

					case 'release':
					case 'withdraw': {
						const [first = unrequestedId] = running.keys();
						running.delete(first);
						recordActions(what === 'release' ? queue.release(first, 10, now) : queue.withdraw(first, now));
						break;
					}

					case 'check-hosts': {
						queue.dropUnavailableHosts(() => true, now);
						break;
					}

					case 'tick': {
						recordActions(queue.tick(now));
						break;
					}

					case 'leave':
					case 'stop-leaving': {
						recordActions(queue.setLeaving(what === 'leave', now));
					}
				}

				const {running: count} = queue.state();
				expect(count).toBeLessThanOrEqual(3);
				// The queue doesn't report which grants have expired; the oldest ones are assumed to have expired, until the counts agree.
				for (const grantedId of running.keys()) {
					if (count < running.size) {
						running.delete(grantedId);
					}
				}
			}

			recordActions(queue.close(now));
			expect(answered.size).toBe(requested.size);
		}), {seed: 51, numRuns: 300});
	});

	it.each([
		['when the queue is full', makeQueue(1, 1), 'queue-full'],
		['when the engine is leaving', (() => {
			const queue = makeQueue();
			queue.setLeaving(true, 0);
			return queue;
		})(), 'leaving'],
		['that can\'t be served before its deadline', (() => {
			const queue = makeQueue(1);
			for (let id = 0; id < 30; id++) {
				queue.ask(makeSlotRequest(`b${id}`, {leftMs: 60_000}), 0);
			}

			return queue;
		})(), 'deadline'],
	])('refuses a request at once %s', (_name, queue, reason) => {
		const actions = ['x1', 'x2', 'x3'].flatMap(id => queue.ask(makeSlotRequest(id, {leftMs: 2000}), 0));
		const refused = actions.find(action => action.kind === 'refuse');
		expect(refused).toMatchObject({reason});
		expect(refused!.retryAfterMs).toBeGreaterThan(0);
	});

	it('refuses a waiting request at its deadline', () => {
		const queue = makeQueue(1);
		queue.ask(makeSlotRequest('a'), 0);
		queue.ask(makeSlotRequest('b', {leftMs: 900}), 0);
		expect(formatActions(queue.tick(899))).toEqual([]);
		expect(formatActions(queue.tick(900))).toEqual(['refuse b deadline']);
	});

	it('adopts the grants of the previous owner before it grants new requests', () => {
		const queue = makeQueue(1, 10, 500);
		expect(formatActions(queue.ask(makeSlotRequest('a'), 0))).toEqual([]);
		queue.renew('h2', [{
			engine: 'e', host: 'h2', alone: false, item: makeSlotRequest('old'),
		}], 100);
		expect(formatActions(queue.tick(600))).toEqual([]);
		expect(formatActions(queue.release('old', 50, 700))).toEqual(['grant a']);
	});

	it('frees the slots of a host that is down, and of one that does not renew its grants', () => {
		const queue = makeQueue(1);
		queue.ask(makeSlotRequest('a'), 0);
		queue.ask(makeSlotRequest('b', {host: 'h2', leftMs: 60_000}), 0);
		queue.ask(makeSlotRequest('c', {host: 'h3', leftMs: 60_000}), 0);
		expect(formatActions(queue.dropUnavailableHosts(host => host !== 'h1', 100))).toEqual(['grant b']);
		expect(formatActions(queue.tick(5000))).toEqual([]);
		expect(formatActions(queue.tick(10_200))).toEqual(['grant c']);
	});

	it('runs a suspect request alone', () => {
		const queue = makeQueue(4);
		queue.ask(makeSlotRequest('a'), 0);
		expect(formatActions(queue.ask(makeSlotRequest('s', {alone: true}), 0))).toEqual([]);
		expect(formatActions(queue.ask(makeSlotRequest('b'), 0))).toEqual([]);
		expect(formatActions(queue.release('a', 10, 10))).toEqual(['grant s']);
		expect(formatActions(queue.release('s', 10, 20))).toEqual(['grant b']);
	});

	it.each<readonly [string, (queue: ReturnType<typeof makeQueue>) => void]>([
		['its withdrawal arrives before the request', queue => {
			queue.withdraw('a', 0);
			expect(formatActions(queue.ask(makeSlotRequest('a'), 1))).toEqual(['refuse a withdrawn']);
		}],
		['a renewal arrives after its release', queue => {
			queue.ask(makeSlotRequest('a'), 0);
			queue.release('a', 10, 10);
			queue.renew('h1', [{
				engine: 'e', host: 'h1', alone: false, item: makeSlotRequest('a'),
			}], 11);
		}],
		['a renewal arrives after its withdrawal', queue => {
			queue.ask(makeSlotRequest('a'), 0);
			queue.withdraw('a', 10);
			queue.renew('h1', [{
				engine: 'e', host: 'h1', alone: false, item: makeSlotRequest('a'),
			}], 11);
		}],
	])('gives no slot to an ended request when messages arrive out of order: %s', (_name, play) => {
		const queue = makeQueue(1);
		play(queue);
		expect(queue.state()).toMatchObject({running: 0, waiting: 0});
		expect(formatActions(queue.ask(makeSlotRequest('b'), 20))).toEqual(['grant b']);
	});
});
