import {type ConfigHead} from '../../publishing/config-head.js';

const maxRecentPublications = 64;

/** A publication that is to be put in force. */
type Publication = {
	readonly nonce: string;
	readonly publisher: string;
	/** New digest of each published service. */
	readonly services: Readonly<Record<string, string>>;
};

/** Result of merging a publication into a head. */
type MergeResult
	= | {readonly kind: 'write'; readonly head: ConfigHead}
		| {readonly kind: 'done'; readonly revision: number}
		| {readonly kind: 'lost'; readonly service: string; readonly winner: string; readonly revision: number};

/**
Merges a publication into the head as it is now.

@param base - The head that the publisher saw first. A service that changed since belongs to another publisher.
@param head - The head as it is now.
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
