import {describe, expect, test} from 'vitest';
import {mergeServedVersions} from '../../src/decide/streams/merge-served-versions.js';
import {type ServedVersion} from '../../src/decide/streams/served-version.js';
import {uniteServedVersions} from '../../src/decide/streams/unite-served-versions.js';

const serving = (version: string): ServedVersion => ({service: 's', version});
const ended = (version: string, until: number): ServedVersion => ({service: 's', version, until});

// Guards against docs/incidents/streams-after-a-returned-store.md.
describe('what a host knows of versions, united with what a store shows that may have lost some', () => {
	test.each<readonly [string, readonly ServedVersion[], readonly ServedVersion[], readonly ServedVersion[]]>([
		['keeps a version that the store has lost', [serving('v1'), serving('v2')], [serving('v1')], [serving('v1'), serving('v2')]],
		['takes one that the host does not know', [serving('v1')], [serving('v1'), serving('v2')], [serving('v1'), serving('v2')]],
		['serves on where only the host knows the end', [ended('v1', 5)], [serving('v1')], [serving('v1')]],
		['serves on where only the store knows the end', [serving('v1')], [ended('v1', 5)], [serving('v1')]],
		['ends at the later end', [ended('v1', 5)], [ended('v1', 7)], [ended('v1', 7)]],
		['tells services apart', [serving('v1')], [{service: 't', version: 'v1'}], [serving('v1'), {service: 't', version: 'v1'}]],
	])('%s', (_name, known, stored, expected) => {
		expect(uniteServedVersions(known, stored)).toEqual(expected);
	});

	test('ends a version that is not listed once they are merged with the list', () => {
		const united = uniteServedVersions([ended('v1', 5), serving('v2')], [serving('v1')]);
		expect(mergeServedVersions(united, new Map([['s', new Set(['v2'])]]), 100, 50)).toEqual([ended('v1', 50), serving('v2')]);
	});
});
