import {type ConfigHead} from '../../publishing/config-head.js';

/** Publications kept in the head. */
const maxRecentPublications = 64;

/** A publication that is not yet in force. */
type Publication = {
	/** Identifies the publication when its write is tried again. */
	readonly nonce: string;
	readonly publisher: string;
	/** New digest of each published service. */
	readonly services: Readonly<Record<string, string>>;
};

/**
Result of merging a publication into a head: a new head to write, an earlier write of the same publication that succeeded,
or a conflict over a service that another publisher has changed.
*/
type MergeResult
	= | {readonly kind: 'write'; readonly head: ConfigHead}
		| {readonly kind: 'done'; readonly revision: number}
		| {readonly kind: 'lost'; readonly service: string; readonly winner: string; readonly revision: number};

/**
Merges a publication into the current head.

@param base - The head as the publisher first read it. A service that has changed since then was published by another publisher.
@param head - The current head.
*/
export function mergePublication(base: ConfigHead | undefined, head: ConfigHead | undefined, publication: Publication): MergeResult {
	const current = head ?? {revision: 0, services: {}, recent: []};
	const merged = current.recent.find(entry => entry.nonce === publication.nonce);
	if (merged) {
		return {kind: 'done', revision: merged.revision};
	}

	for (const service of Object.keys(publication.services)) {
		if (current.services[service] !== base?.services[service]) {
			const winner = current.recent.findLast(entry => entry.services.includes(service));
			return {
				kind: 'lost', service, winner: winner?.publisher ?? 'unknown', revision: winner?.revision ?? current.revision,
			};
		}
	}

	const revision = current.revision + 1;
	const entry = {
		revision, nonce: publication.nonce, publisher: publication.publisher, services: Object.keys(publication.services),
	};
	return {
		kind: 'write',
		head: {revision, services: {...current.services, ...publication.services}, recent: [...current.recent, entry].slice(-maxRecentPublications)},
	};
}
