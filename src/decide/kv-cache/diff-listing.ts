import {type KvEvent} from '../../forwarding/kv-event.js';
import {formatPartKey} from './format-part-key.js';

type Part = Omit<KvEvent, 'isAdded'>;

/** Computes the events that turn the known parts into the listed parts, including changes whose events were lost. */
export function diffListing(known: readonly Part[], listed: readonly Part[]): readonly KvEvent[] {
	const knownTokens = new Map(known.map(({scope, part, tokens}) => [formatPartKey(scope, part), tokens]));
	const listedKeys = new Set(listed.map(({scope, part}) => formatPartKey(scope, part)));
	const removed = known.filter(({scope, part}) => !listedKeys.has(formatPartKey(scope, part)));
	const added = listed.filter(({scope, part, tokens}) => knownTokens.get(formatPartKey(scope, part)) !== tokens);
	return [
		...removed.map(({scope, part, tokens}) => ({
			isAdded: false, scope, part, tokens,
		})),
		...added.map(({scope, part, tokens}) => ({
			isAdded: true, scope, part, tokens,
		})),
	];
}
