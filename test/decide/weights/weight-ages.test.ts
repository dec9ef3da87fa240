// Guards against ages of weights that begin anew at a host that learned late: docs/incidents/old-weights-after-their-time.md.
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createWeightAges} from '../../../src/decide/weights/create-weight-ages.js';
import {type WeightAges} from '../../../src/decide/weights/weight-ages.js';
import {createWeightWorld, type WeightEvent, type WeightWorld} from '../../support/create-weight-world.js';

/** Clocks of a host that a test sets, in milliseconds. */
type TestClocks = {
	held: number;
	wait: number;
};

const model = 'm';
const startMs = 100_000;

function createHost(): {readonly ages: WeightAges; readonly clocks: TestClocks; readonly pass: (ms: number) => void} {
	const clocks: TestClocks = {held: startMs, wait: startMs};
	return {
		clocks,
		ages: createWeightAges({suspendAware: () => clocks.held, monotonic: () => clocks.wait}),
		pass(ms) {
			clocks.held += ms;
			clocks.wait += ms;
		},
	};
}

type Host = ReturnType<typeof createHost>;

const seen = {confirmedAt: startMs, isPrompt: true};
const foundLate = {confirmedAt: undefined, isPrompt: false};

/** What a host learns, the version of the engine, and the age that is expected. */
const cases: ReadonlyArray<readonly [name: string, learn: (host: Host) => void, version: number, expectedMs: number | undefined]> = [
	['nothing is newer', ({ages}) => {
		ages.recordFound(model, 2, seen);
	}, 2, undefined],
	['a change that is seen as it is made is new', ({ages}) => {
		ages.recordFound(model, 2, seen);
	}, 1, 0],
	['an age goes on with the time', ({ages, pass}) => {
		ages.recordFound(model, 2, seen);
		pass(700);
	}, 1, 700],
	['of two statements the oldest holds', ({ages}) => {
		ages.recordStated([model, 2, 300]);
		ages.recordStated([model, 2, 900]);
	}, 1, 900],
	['of two statements the oldest holds, in the other order', ({ages}) => {
		ages.recordStated([model, 2, 900]);
		ages.recordStated([model, 2, 300]);
	}, 1, 900],
	['an older statement holds over a change that is seen as it is made', ({ages}) => {
		ages.recordFound(model, 2, seen);
		ages.recordStated([model, 2, 50]);
	}, 1, 50],
	['a change that is seen later does not make an older statement younger', ({ages}) => {
		ages.recordStated([model, 2, 50]);
		ages.recordFound(model, 2, seen);
	}, 1, 50],
	['what nobody knows is infinitely old', ({ages}) => {
		ages.recordFound(model, 2, foundLate);
	}, 1, Number.POSITIVE_INFINITY],
	['what nobody knows is not older than the store\'s last confirmation', ({ages, pass}) => {
		pass(4000);
		ages.recordFound(model, 2, {confirmedAt: startMs + 1000, isPrompt: false});
		pass(500);
	}, 1, 3500],
	['a statement makes known what was bounded by the store\'s last confirmation', ({ages, pass}) => {
		pass(4000);
		ages.recordFound(model, 2, {confirmedAt: startMs, isPrompt: false});
		ages.recordStated([model, 2, 1200]);
	}, 1, 1200],
	['a statement makes known what was infinitely old', ({ages}) => {
		ages.recordFound(model, 2, foundLate);
		ages.recordStated([model, 2, 1200]);
	}, 1, 1200],
	['an engine with the first version is as old as the first newer one', ({ages, pass}) => {
		ages.recordFound(model, 2, seen);
		pass(1000);
		ages.recordFound(model, 3, seen);
		pass(200);
	}, 1, 1200],
	['an engine with the second version is as old as the third', ({ages, pass}) => {
		ages.recordFound(model, 2, seen);
		pass(1000);
		ages.recordFound(model, 3, seen);
		pass(200);
	}, 2, 200],
	['a version that nobody has seen does not hide that another was', ({ages, pass}) => {
		ages.recordFound(model, 2, foundLate);
		pass(1000);
		ages.recordFound(model, 3, seen);
	}, 2, 0],
	['a version that nobody has seen is no older than the one before it', ({ages}) => {
		ages.recordFound(model, 3, foundLate);
		ages.recordStated([model, 2, 7000]);
	}, 2, 7000],
	['a version before one that is known was named before it', ({ages}) => {
		ages.recordStated([model, 2, null]);
		ages.recordFound(model, 3, seen);
	}, 1, Number.POSITIVE_INFINITY],
	['another model\'s versions do not count', ({ages}) => {
		ages.recordFound('other', 2, foundLate);
	}, 1, undefined],
	['a negative age does not count', ({ages}) => {
		ages.recordFound(model, 2, seen);
		ages.recordStated([model, 2, -5]);
		ages.recordStated([model, 3, -5]);
	}, 1, 0],
	['an age that is not a number does not count', ({ages}) => {
		ages.recordFound(model, 2, seen);
		ages.recordStated([model, 2, Number.NaN]);
	}, 1, 0],
	['an infinite age does not count', ({ages}) => {
		ages.recordFound(model, 2, seen);
		ages.recordStated([model, 2, Number.POSITIVE_INFINITY]);
	}, 1, 0],
	['a negative age does not make known what nobody knows', ({ages}) => {
		ages.recordFound(model, 2, foundLate);
		ages.recordStated([model, 2, -5]);
	}, 1, Number.POSITIVE_INFINITY],
];

describe('the age of weights', () => {
	test.each(cases)('%s', (_name, learn, version, expectedMs) => {
		const host = createHost();
		learn(host);
		expect(host.ages.getStaleForMs(model, version)).toBe(expectedMs);
	});

	test.each([[0], [1], [5], [15], [16], [17], [40]])('is that of the first newer version for an engine with the first one, after %i more versions', more => {
		const {ages, pass} = createHost();
		ages.recordFound(model, 1, foundLate);
		ages.recordFound(model, 2, seen);
		for (let version = 3; version < 3 + more; version++) {
			pass(100);
			ages.recordFound(model, version, seen);
		}

		expect(ages.getStaleForMs(model, 1)).toBe(more * 100);
		expect(ages.getStaleForMs(model, more + 1)).toBe(0);
		expect(ages.isUnknown(model, 1)).toBe(false);
	});

	test.each([[5], [17], [40]])('is that of the first newer version at a host that hears of all %i in any order, again and again', count => {
		fc.assert(fc.property(fc.shuffledSubarray(Array.from({length: count}, (_, index) => index + 2), {minLength: count}), versions => {
			const {ages} = createHost();
			ages.recordFound(model, 1, foundLate);
			for (const version of [...versions, ...versions]) {
				ages.recordStated([model, version, (count + 2 - version) * 100]);
			}

			expect(ages.getStaleForMs(model, 1)).toBe(count * 100);
			expect(ages.getStaleForMs(model, count)).toBe(100);
			expect(ages.isUnknown(model, 1)).toBe(false);
		}), {seed: 5001, numRuns: 50});
	});

	test.each([['at the host that saw the change', 0], ['at the host that is told', 1]])('does not become older at the other host when the wall clock steps forward %s', (_name, stepped) => {
		const pair = [createHost(), createHost()] as const;
		pair[0].ages.recordFound(model, 2, seen);
		pair[stepped]!.clocks.held += 3_600_000;
		for (const host of pair) {
			host.pass(300);
		}

		for (const [from, to] of [pair, pair.toReversed()]) {
			for (const age of from.ages.list()) {
				to.ages.recordStated(age);
			}
		}

		expect(pair[1 - stepped]!.ages.getStaleForMs(model, 1)).toBe(300);
	});

	test('does not grow as it is told back and forth', () => {
		const [a, b] = [createHost(), createHost()];
		a.ages.recordFound(model, 2, seen);
		for (let round = 1; round <= 600; round++) {
			const stated = [a.ages.list(), b.ages.list()] as const;
			for (const host of [a, b]) {
				host.pass(100.55);
			}

			for (const [index, host] of [b, a].entries()) {
				for (const [of, version, ageMs] of stated[index]!) {
					host.ages.recordStated([of, version, ageMs! + 100]);
				}
			}
		}

		expect(a.ages.getStaleForMs(model, 1)).toBeCloseTo(600 * 100.55);
	});

	test('is by the clock that never runs ahead where it is for others', () => {
		const {ages, clocks, pass} = createHost();
		ages.recordFound(model, 2, seen);
		clocks.held += 20_000;
		pass(1000);
		expect([ages.getStaleForMs(model, 1), ages.getLeastStaleForMs(model, 1)]).toEqual([21_000, 1000]);
	});

	test('is stated as unknown while nobody knows it', () => {
		const {ages} = createHost();
		ages.recordFound(model, 2, {confirmedAt: startMs - 50, isPrompt: false});
		expect(ages.list()).toEqual([[model, 2, null]]);
		expect([ages.isUnknown(model, 1), ages.isUnknown(model, 2)]).toEqual([true, false]);
	});
});

const sizes = {
	hosts: 4, stepMs: 100_000, reportMs: 40, promptMs: 3000,
};
const hostIndexes = Array.from({length: sizes.hosts}, (_, index) => index);
const events: readonly WeightEvent[] = [
	{kind: 'name'},
	{kind: 'step'},
	...hostIndexes.flatMap((host): readonly WeightEvent[] => [
		...(['prompt', 'late', 'restart', 'write', 'read'] as const).map(kind => ({kind, host})),
		...hostIndexes.filter(to => to !== host).map(to => ({kind: 'report', host, to} as const)),
	]),
];
/** Events of each interleaving that is played. */
const depth = 7;
/** Faults that a failed check shows. */
const reportedFaults = 3;

/** Plays events in a world of their own; `undefined` when the last one is not possible. */
function replay(path: readonly WeightEvent[]): WeightWorld | undefined {
	const world = createWeightWorld({...sizes, namings: 2});
	const possible = path.map(event => world.play(event));
	return possible.at(-1) === false ? undefined : world;
}

/** Plays all interleavings of up to `depth` events; worlds that are the same go on once. Returns what is wrong, with the events that lead there. */
function findFaults(listWrong: (world: WeightWorld) => readonly string[]): readonly string[] {
	const faults: string[] = [];
	const known = new Set<string>();
	let paths: ReadonlyArray<readonly WeightEvent[]> = [[]];
	for (let length = 1; length <= depth; length++) {
		const next: Array<readonly WeightEvent[]> = [];
		for (const path of paths) {
			for (const event of events) {
				const longer = [...path, event];
				const world = replay(longer);
				const state = world?.describe();
				if (world && !known.has(state!)) {
					known.add(state!);
					next.push(longer);
					faults.push(...listWrong(world).map(wrong => `${wrong}, after ${JSON.stringify(longer)}`));
				}
			}
		}

		paths = next;
	}

	return faults;
}

describe('hosts that learn of named weights, restart and tell each other', () => {
	test(`state no age that is too young, nor too old once all have heard all, in each interleaving of ${depth} events`, () => {
		expect(findFaults(world => {
			const tooYoung = world.listTooYoung();
			world.exchange();
			return [...tooYoung, ...world.listTooYoung(), ...world.listTooOld()];
		}).slice(0, reportedFaults)).toEqual([]);
	});

	test('state no age that is too young, by versions that others have heard of as well, in each interleaving', () => {
		expect(findFaults(world => world.listTooYoungByAll()).slice(0, reportedFaults)).toEqual([]);
	});

	test('state no age that is too young, nor too old once all have heard all, in long histories of several versions', () => {
		fc.assert(fc.property(fc.array(fc.constantFrom(...events), {minLength: 10, maxLength: 70}), path => {
			const world = createWeightWorld({...sizes, namings: 6});
			for (const event of path) {
				world.play(event);
				expect(world.listTooYoung()).toEqual([]);
			}

			world.exchange();
			expect(world.listTooYoung()).toEqual([]);
			expect(world.listTooOld()).toEqual([]);
		}), {seed: 5002, numRuns: 3000});
	});
});
