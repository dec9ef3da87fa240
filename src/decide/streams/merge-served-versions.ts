import {type ServedVersion} from './served-version.js';

/**
Merges the stored versions with those that are listed now. Versions of a service that is listed and that are not listed themselves have ended; those that
ended longer ago than `retentionMs` are left out.

@param now - Unix milliseconds.
*/
export function mergeServedVersions(stored: readonly ServedVersion[], listed: ReadonlyMap<string, ReadonlySet<string>>, retentionMs: number, now: number): readonly ServedVersion[] {
	const kept = stored.flatMap(({service, version, until}): readonly ServedVersion[] => {
		const isListed = listed.get(service)?.has(version) ?? false;
		const endedAt = isListed || !listed.has(service) ? until : until ?? now;
		if (endedAt !== undefined && !isListed && now - endedAt > retentionMs) {
			return [];
		}

		return [{service, version, ...(isListed || endedAt === undefined ? {} : {until: endedAt})}];
	});
	const known = new Set(kept.map(({service, version}) => `${service}\n${version}`));
	const added = [...listed].flatMap(([service, versions]) => [...versions].filter(version => !known.has(`${service}\n${version}`)).map(version => ({service, version})));
	return [...kept, ...added];
}
