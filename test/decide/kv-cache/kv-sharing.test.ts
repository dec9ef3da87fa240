import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createKvSharing} from '../../../src/decide/kv-cache/create-kv-sharing.js';
import {formatScope} from '../../../src/decide/kv-cache/format-scope.js';
import {parseScope} from '../../../src/decide/kv-cache/parse-scope.js';

const names = ['acme', 'birch', 'cedar', 'dogwood'];

/** A configuration: the workspaces that it names, and whether each is isolated. */
type Isolation = Readonly<Record<string, boolean>>;

const toWorkspaces = (isolation: Isolation) => Object.entries(isolation).map(([name, isIsolated]) => ({
	name, keys: [`key-${name}`], priority: undefined, isIsolated,
}));

const scopeOf = (isolation: Isolation, name: string | undefined): string => formatScope(createKvSharing(toWorkspaces(isolation)).scopeOf('m', 1, name));

/** Runs each workspace once by each configuration in turn, and lists the uses across a wall, judged by the configuration in force. */
function listBreaches(configurations: readonly Isolation[], lagsBehind: (run: number) => boolean): readonly string[] {
	const makersByScope = new Map<string, Set<string>>();
	const breaches: string[] = [];
	let run = 0;
	for (const [index, current] of configurations.entries()) {
		for (const name of names) {
			// A host that applies a change later than others runs requests by the configuration before.
			const isLate = lagsBehind(run++);
			const applied = isLate ? configurations[index - 1] ?? current : current;
			if (applied[name] === undefined) {
				continue;
			}

			const scope = scopeOf(applied, name);
			const makers = makersByScope.get(scope) ?? new Set();
			makersByScope.set(scope, makers);
			if (!isLate) {
				breaches.push(...[...makers].filter(maker => maker !== name && [name, maker].some(each => current[each])).map(maker => `${index}: ${name} uses what ${maker} made`));
			}

			makers.add(name);
		}
	}

	return breaches;
}

const shared = (...isolated: readonly string[]): Isolation => Object.fromEntries(names.map(name => [name, isolated.includes(name)]));

/** What a workspace had computed before it became isolated stayed within reach of all others. */
describe('the scope of KV cache', () => {
	test.each<readonly [string, readonly Isolation[]]>([
		['shared to isolated', [shared(), shared('acme')]],
		['isolated to shared and isolated again', [shared('acme'), shared(), shared('acme'), shared(), shared('acme')]],
		['another workspace than the first', [shared(), shared('acme'), shared('birch'), shared('acme', 'birch'), shared('birch')]],
		['the five configurations of the review', [shared('cedar'), shared('cedar', 'acme'), shared('cedar'), shared('cedar', 'acme'), shared('cedar', 'birch')]],
		['a new workspace', [{acme: false, birch: false}, {acme: false, birch: false, cedar: true}, {acme: true, birch: false, cedar: false}]],
		['a workspace whose name comes back', [shared(), {birch: false, cedar: false}, shared('acme'), {birch: false, cedar: false}, shared()]],
	])('keeps isolated workspaces apart: %s', (_name, configurations) => {
		expect(listBreaches(configurations, () => false)).toEqual([]);
		expect(listBreaches(configurations, run => run % 3 === 1)).toEqual([]);
	});

	test('keeps isolated workspaces apart, whatever changes and whichever host is late', () => {
		const isolation = fc.record(Object.fromEntries(names.map(name => [name, fc.boolean()])), {requiredKeys: []}) as fc.Arbitrary<Isolation>;
		fc.assert(fc.property(fc.array(isolation, {maxLength: 12}), fc.array(fc.boolean(), {minLength: 48, maxLength: 48}), (configurations, late) => {
			expect(listBreaches(configurations, run => late[run] ?? false)).toEqual([]);
		}), {seed: 47, numRuns: 1000});
	});

	test.each<readonly [string, Isolation, Isolation]>([
		['nothing', shared('cedar'), shared('cedar')],
		['a new workspace that shares', {acme: false, birch: false, cedar: true}, shared('cedar')],
		['a workspace that is taken away', shared('cedar'), {acme: false, birch: false, cedar: true}],
		['an isolation that is taken back', shared(), shared()],
	])('stays as it was for those who share after a change of %s', (_name, before, after) => {
		expect(scopeOf(after, 'acme')).toBe(scopeOf(before, 'acme'));
	});

	test('is one for all that share, requests without a workspace included', () => {
		expect(new Set(['acme', 'birch', undefined].map(name => scopeOf(shared('cedar', 'dogwood'), name))).size).toBe(1);
	});

	test('is in use if requests of some workspace run in it', () => {
		const sharing = createKvSharing(toWorkspaces(shared('cedar')));
		const isInUse = (text: string): boolean => sharing.isInUse(parseScope(text)!);
		expect(names.map(name => isInUse(scopeOf(shared('cedar'), name)))).toEqual([true, true, true, true]);
		expect([scopeOf(shared(), 'acme'), scopeOf(shared('acme'), 'acme'), scopeOf(shared('cedar', 'acme'), 'birch')].map(text => isInUse(text))).toEqual([false, false, false]);
	});
});
