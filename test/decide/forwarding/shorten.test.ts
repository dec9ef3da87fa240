import {describe, expect, test} from 'vitest';
import {shortenCandidates} from '../../../src/decide/forwarding/shorten-candidates.js';
import {type Candidate} from '../../../src/decide/forwarding/candidate.js';

const candidates = Array.from({length: 63}, (_, index) => ({firstByteMs: index, weightsMs: 0, view: {upstream: {id: `i-${index}`}}}) as Candidate);
const idsOf = (some: readonly Candidate[]): readonly string[] => some.map(({view}) => view.upstream.id);

describe('scores of engines for one prompt', () => {
	test('are cut to those with least ahead and those that may hold its context', () => {
		const left = shortenCandidates(candidates, ({view}) => view.upstream.id === 'i-2' || view.upstream.id === 'i-40');
		expect(idsOf(left)).toEqual(['i-0', 'i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-40']);
	});

	test('are not cut where they are few', () => {
		expect(shortenCandidates(candidates.slice(0, 4), () => false)).toHaveLength(4);
	});
});
