import {type PartEvent} from '../../forwarding/part-event.js';
import {writePartKey} from './write-part-key.js';

type Part = Omit<PartEvent, 'isAdded'>;

/** Gives the changes that lead from the parts known to the parts listed; those whose events were lost are among them. */
export function compareListing(known: readonly Part[], listed: readonly Part[]): readonly PartEvent[] {
	const knownTokens = new Map(known.map(({scope, part, tokens}) => [writePartKey(scope, part), tokens]));
	const listedKeys = new Set(listed.map(({scope, part}) => writePartKey(scope, part)));
	const removed = known.filter(({scope, part}) => !listedKeys.has(writePartKey(scope, part)));
	const added = listed.filter(({scope, part, tokens}) => knownTokens.get(writePartKey(scope, part)) !== tokens);
	return [
		...removed.map(({scope, part, tokens}) => ({
			isAdded: false, scope, part, tokens,
		})),
		...added.map(({scope, part, tokens}) => ({
			isAdded: true, scope, part, tokens,
		})),
	];
}
