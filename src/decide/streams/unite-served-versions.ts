import {type ServedVersion} from './served-version.js';

/** Unites what a host knew of the versions that served with what a store shows that may have lost some; a version ended where both know that it did. */
export function uniteServedVersions(known: readonly ServedVersion[], stored: readonly ServedVersion[]): readonly ServedVersion[] {
	const toKey = ({service, version}: ServedVersion): string => `${service}\n${version}`;
	const united = new Map(known.map(served => [toKey(served), served]));
	for (const served of stored) {
		const before = united.get(toKey(served));
		const until = before && (before.until === undefined || served.until === undefined ? undefined : Math.max(before.until, served.until));
		united.set(toKey(served), before ? {service: served.service, version: served.version, until} : served);
	}

	return [...united.values()];
}
