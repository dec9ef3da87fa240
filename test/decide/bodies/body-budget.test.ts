// Guards against bodies that together hold more than the budget, keep out ordinary requests, or wait for each other for ever.
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {type BodyAccount} from '../../../src/decide/bodies/body-account.js';
import {type BodyState} from '../../../src/decide/bodies/body-state.js';
import {createBodyBudget} from '../../../src/decide/bodies/create-body-budget.js';
import {selectBodyToClose} from '../../../src/decide/bodies/select-body-to-close.js';

const kib = 1024;
const limit = 1024 * kib;

/** A body in a test, with what became of it. */
type Played = {
	readonly account: BodyAccount;
	isClosed: boolean;
	granted: number;
};

function play(limitBytes = limit) {
	const budget = createBodyBudget(() => limitBytes);
	const open = (length: number | undefined, now = 0, owner = 'a'): Played => {
		const body: Played = {
			account: budget.open({
				owner, length, now, onGrant() {
					body.granted++;
				}, onClose() {
					body.isClosed = true;
					body.account.close();
				},
			}),
			isClosed: false,
			granted: 0,
		};
		return body;
	};

	return {budget, open};
}

describe('a budget of bodies', () => {
	test('grants a body alone what it asks for, also beyond the budget', () => {
		const {budget, open} = play();
		expect(open(4 * limit).account.take(4 * limit, 0)).toBe('granted');
		expect(budget.heldBytes()).toBe(4 * limit);
	});

	test('lets a large body wait until another has ended', () => {
		const {open} = play();
		const first = open(700 * kib);
		const second = open(700 * kib, 0, 'b');
		expect(first.account.take(700 * kib, 0)).toBe('granted');
		expect(second.account.take(700 * kib, 0)).toBe('waiting');
		first.account.close();
		expect([second.granted, second.isClosed, first.isClosed]).toEqual([1, false, false]);
	});

	test('gives up a large body that has stalled for one that waits, not one that moves or is forwarded', () => {
		const {open} = play();
		const [stalled, moving, complete] = [open(300 * kib), open(300 * kib, 0, 'b'), open(200 * kib, 0, 'c')];
		stalled.account.take(300 * kib, 0);
		moving.account.take(300 * kib, 0);
		complete.account.take(200 * kib, 0);
		complete.account.complete();
		const asking = open(200 * kib, 900, 'd');
		expect(asking.account.take(200 * kib, 900)).toBe('waiting');
		moving.account.receive(10, 1000);
		expect(asking.account.take(200 * kib, 1500)).toBe('granted');
		expect([stalled, moving, complete].map(({isClosed}) => isClosed)).toEqual([true, false, false]);
	});

	test('takes a small body beside a crowd of large ones, and closes no small one that moves', () => {
		const {open} = play();
		const crowd = Array.from({length: 40}, (_, index) => open(300 * kib, 0, `owner-${index}`));
		for (const {account} of crowd) {
			account.take(300 * kib, 0);
		}

		const small = Array.from({length: 20}, () => open(30 * kib, 10, 'b'));
		expect(small.map(({account}) => account.take(30 * kib, 10))).toEqual(small.map(() => 'granted'));
		expect(small.some(({isClosed}) => isClosed)).toBe(false);
	});

	test('keeps a part for other workspaces when one fills its own', () => {
		const {open} = play();
		const own = Array.from({length: 9}, () => open(100 * kib));
		expect(own.map(({account}) => account.take(100 * kib, 0)).filter(result => result === 'granted')).toHaveLength(7);
		expect(open(100 * kib, 0, 'b').account.take(100 * kib, 0)).toBe('granted');
	});

	test('lets the one that received least give way when all large bodies wait for each other', () => {
		const {open} = play();
		const bodies = [1, 2, 3].map(index => {
			const body = open(undefined, 0, `owner-${index}`);
			body.account.take(250 * kib, 0);
			body.account.receive((250 * kib) - index, 0);
			return body;
		});
		expect(bodies.map(({account}) => account.take(250 * kib, 0))).toEqual(['waiting', 'waiting', 'refused']);
		bodies[2]!.account.close();
		expect(bodies.slice(0, 2).map(({granted}) => granted)).toEqual([1, 0]);
	});

	test('never holds more than the limit, unless one body alone does, for any course of events', () => {
		const event = fc.record({
			body: fc.nat(11), kind: fc.constantFrom('take', 'take', 'take', 'receive', 'complete', 'close'), bytes: fc.integer({min: 1, max: 400 * kib}), gapMs: fc.nat(700),
		});
		fc.assert(fc.property(fc.array(event, {maxLength: 80}), events => {
			const {budget, open} = play();
			const held = new Map<number, number>();
			const bodies = Array.from({length: 12}, (_, index) => open(index % 2 === 0 ? undefined : 300 * kib, 0, `owner-${index % 3}`));
			let now = 0;
			for (const {body, kind, bytes, gapMs} of events) {
				now += gapMs;
				const before = budget.heldBytes();
				const {account} = bodies[body]!;
				if (kind === 'take') {
					const result = account.take(bytes, now);
					held.set(body, (held.get(body) ?? 0) + (result === 'granted' ? bytes : 0));
				} else if (kind === 'receive') {
					account.receive(bytes, now);
				} else {
					account[kind]();
				}

				// Beyond the limit, only a body that was alone may have grown.
				expect(budget.heldBytes() <= limit || budget.heldBytes() <= before || before <= (held.get(body) ?? 0)).toBe(true);
			}

			for (const {account} of bodies) {
				account.close();
			}

			expect(budget.heldBytes()).toBe(0);
		}), {seed: 53, numRuns: 300});
	});
});

const state = (changed: Partial<BodyState>): BodyState => ({
	owner: 'a', isSmall: false, heldBytes: 100, receivedBytes: 100, movedAt: 0, isWaiting: false, isComplete: false, ...changed,
});

test.each([
	['nobody else', [], {}, false, undefined],
	['a large one that moves', [{movedAt: 4900}], {}, false, undefined],
	['of stalled ones the largest', [{heldBytes: 10}, {heldBytes: 200}], {}, false, 1],
	['not what is forwarded', [{isComplete: true}], {isSmall: true}, false, undefined],
	['for a small one a large one that moves', [{movedAt: 4900}], {isSmall: true}, false, 0],
	['for a small one a stalled small one before a large one that moves', [{movedAt: 4900}, {isSmall: true}], {isSmall: true}, false, 1],
	['no small one for a large one', [{isSmall: true}], {}, false, undefined],
	['not that of another owner when the own part is full', [{owner: 'b'}], {}, true, undefined],
	['a host that does not read has not stalled its callers', [{isWaiting: true, receivedBytes: 5}, {movedAt: 4900}], {}, false, undefined],
	['all wait: the one that received least', [{isWaiting: true, receivedBytes: 5}, {isWaiting: true}], {}, false, 0],
] as const)('which body is given up: %s', (_name, others, asking, isOwnerFull, expected) => {
	const bodies = others.map(other => state(other));
	const own = state(asking);
	const selected = selectBodyToClose([...bodies, own], own, isOwnerFull, 5000);
	expect(selected === undefined ? undefined : bodies.indexOf(selected)).toBe(expected);
});
