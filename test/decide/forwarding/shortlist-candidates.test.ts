import {describe, expect, test} from 'vitest';
import {shortlistCandidates} from '../../../src/decide/forwarding/shortlist-candidates.js';
import {type UpstreamCandidate} from '../../../src/decide/forwarding/upstream-candidate.js';

const candidates = Array.from({length: 63}, (_, index) => ({firstByteMs: index, staleWeightsPenaltyMs: 0, view: {upstream: {id: `i-${index}`}}}) as UpstreamCandidate);
const idsOf = (list: readonly UpstreamCandidate[]): readonly string[] => list.map(({view}) => view.upstream.id);

describe('the shortlist of candidates', () => {
	test('contains those ranked first and those that may hold KV cache of the prompt', () => {
		const shortlist = shortlistCandidates(candidates, ({view}) => view.upstream.id === 'i-2' || view.upstream.id === 'i-40');
		expect(idsOf(shortlist)).toEqual(['i-0', 'i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-40']);
	});

	test('contains all candidates when there are few', () => {
		expect(shortlistCandidates(candidates.slice(0, 4), () => false)).toHaveLength(4);
	});
});
