// Guards against docs/incidents/brittle-upstreams-fall-over.md.
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createRoomCounter} from '../../../src/decide/announcements/create-room-counter.js';
import {createSeededRandom} from '../../../src/util/create-seeded-random.js';

const slots = 4;
const learnedMs = 300;
const callTimeoutMs = 250;

type Message = {readonly at: number; readonly deliver: (now: number) => void};

/** What the network does to messages. */
type Network = {readonly maxDelayMs: number; readonly lost: number};

/** Plays hosts that ask one counter for slots before they send; returns the most requests that were at the upstream at once, and how many. */
function playHosts(seed: number, hosts: number, {maxDelayMs, lost}: Network) {
	const random = createSeededRandom(seed);
	const counter = createRoomCounter(random, 0);
	const held = Array.from({length: hosts}, () => new Set<number>());
	const granted = Array.from({length: hosts}, () => 0);
	const closedUntil = Array.from({length: hosts}, () => 0);
	let messages: Message[] = [];
	let running = 0;
	let most = 0;
	let served = 0;

	const tell = (now: number, deliver: (at: number) => void): void => {
		if (random() >= lost) {
			messages.push({at: now + (random() * maxDelayMs), deliver});
		}
	};

	const run = (host: number, grant: number, now: number): void => {
		running++;
		most = Math.max(most, running);
		messages.push({
			at: now + 100,
			deliver(endedAt) {
				running--;
				served++;
				held[host]!.delete(grant);
				tell(endedAt, at => {
					counter.release(`host-${host}`, grant, at);
				});
			},
		});
	};

	const ask = (host: number, now: number): void => {
		const grant = granted[host]!++;
		held[host]!.add(grant);
		const asked = {
			host: `host-${host}`, grant, held: [...held[host]!], ungranted: 0, slots, reported: 0,
		};
		let isOpen = true;
		tell(now, at => {
			const result = counter.take(asked, at);
			tell(at, answeredAt => {
				if (isOpen && result.isGranted) {
					isOpen = false;
					run(host, grant, answeredAt);
				} else if (isOpen) {
					isOpen = false;
					held[host]!.delete(grant);
					closedUntil[host] = answeredAt + result.retryAfterMs;
				}
			});
		});
		messages.push({
			at: now + callTimeoutMs,
			deliver(at) {
				if (isOpen) {
					isOpen = false;
					held[host]!.delete(grant);
					tell(at, releasedAt => {
						counter.release(`host-${host}`, grant, releasedAt);
					});
				}
			},
		});
	};

	for (let now = learnedMs; now < 20_000; now += 5) {
		const due = messages.filter(({at}) => at <= now).toSorted((a, b) => a.at - b.at);
		messages = messages.filter(({at}) => at > now);
		for (const {deliver} of due) {
			deliver(now);
		}

		const host = Math.floor(random() * hosts);
		if (closedUntil[host]! <= now && random() < 0.5) {
			ask(host, now);
		}
	}

	return {most, served};
}

describe('the slots of a brittle upstream', () => {
	test.each([
		['messages that arrive in order', {maxDelayMs: 0, lost: 0}],
		['messages that overtake each other', {maxDelayMs: 30, lost: 0}],
		['messages that overtake each other and get lost', {maxDelayMs: 60, lost: 0.05}],
	])('are never exceeded, and used: %s', (_name, network) => {
		fc.assert(fc.property(fc.integer(), fc.integer({min: 1, max: 8}), (seed, hosts) => {
			const {most, served} = playHosts(seed, hosts, network);
			expect(most).toBeLessThanOrEqual(slots);
			expect(served).toBeGreaterThan(100);
		}), {seed: 32, numRuns: 60});
	});
});

test.each([
	['a host that has just asked and was not heard yet', 500, false],
	['a host that has not been heard for long', 5000, true],
])('the grants of %s count, or not', (_name, afterMs, isFree) => {
	const counter = createRoomCounter(() => 0, 0);
	const request = {
		host: 'host-0', grant: 1, held: [1], ungranted: 0, slots: 1, reported: 0,
	};
	expect(counter.take(request, learnedMs).isGranted).toBe(true);
	counter.forgetGone(host => host === 'host-0', learnedMs + afterMs);
	expect(counter.take({...request, host: 'host-1'}, learnedMs + afterMs).isGranted).toBe(isFree);
});
