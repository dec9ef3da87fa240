import {type SeenVersion} from '../../streams/seen-version.js';

/** Software versions that the upstreams of each service had within a time. Times are in milliseconds. */
type VersionHistory = {
	readonly record: (service: string, version: string, at: number) => void;
	/** Returns whether a service had several versions within the time. */
	readonly isMixed: (service: string, now: number) => boolean;
	/** Returns the version of a service that had one within the time. */
	readonly findOnly: (service: string, now: number) => string | undefined;
	/** Returns the versions of the services with several ones. */
	readonly listMixed: (now: number) => readonly SeenVersion[];
};

/**
Creates the history of versions. A version counts for `retentionMs` after it was last listed, since streams that it began may be taken up for
that long after its upstreams have gone.
*/
export function createVersionHistory(retentionMs: number): VersionHistory {
	const services = new Map<string, Map<string, number>>();

	const listRecent = (service: string, now: number): ReadonlyMap<string, number> => {
		const versions = services.get(service) ?? new Map<string, number>();
		for (const [version, at] of versions) {
			if (now - at > retentionMs) {
				versions.delete(version);
			}
		}

		return versions;
	};

	return {
		record(service, version, at) {
			const versions = services.get(service) ?? new Map<string, number>();
			versions.set(version, Math.max(at, versions.get(version) ?? Number.NEGATIVE_INFINITY));
			services.set(service, versions);
		},
		isMixed: (service, now) => listRecent(service, now).size > 1,
		findOnly(service, now) {
			const versions = listRecent(service, now);
			return versions.size === 1 ? versions.keys().next().value : undefined;
		},
		listMixed: now => [...services.keys()].flatMap(service => {
			const versions = listRecent(service, now);
			return versions.size > 1 ? [...versions].map(([version, at]) => ({service, version, ageMs: Math.round(now - at)})) : [];
		}),
	};
}
