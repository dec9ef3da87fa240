import {isDeepStrictEqual} from 'node:util';
import {type DomainReport} from '../../reports/domain-report.js';
import {type HostStatus} from '../../reports/host-status.js';

/** Returns whether two statuses of a host are equal in all fields whose changes are sent to other hosts at once. */
function hasSameState(a: HostStatus, b: HostStatus): boolean {
	return a.isStoreLost === b.isStoreLost && a.peers === b.peers && a.epoch === b.epoch
		&& isDeepStrictEqual(a.lostServices, b.lostServices) && isDeepStrictEqual(a.unheard, b.unheard)
		&& isDeepStrictEqual(a.changes, b.changes) && isDeepStrictEqual(a.contentVersions, b.contentVersions);
}

/**
Creates the function that selects the member statuses to send now: those whose state has changed, and each of the others once per `everyMs`.
Load pattern: many hosts whose state rarely changes, on links with little bandwidth.
*/
export function createDueStatusFilter(everyMs: number): (members: DomainReport['members'], now: number) => DomainReport['members'] {
	const lastSent = new Map<string, {readonly status: HostStatus; readonly at: number}>();
	return (members, now) => members.filter(({status}) => {
		const previous = lastSent.get(status.host);
		if (previous && now - previous.at < everyMs && hasSameState(status, previous.status)) {
			return false;
		}

		lastSent.set(status.host, {status, at: now});
		return true;
	}).map(({status, ageMs}) => ({status: {...status, everyMs}, ageMs}));
}
