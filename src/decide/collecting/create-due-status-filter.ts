import {type DomainReport} from '../../forwarding/domain-report.js';
import {type HostStatus} from '../../forwarding/host-status.js';

/** Says whether hosts that heard the one need not hear the other before its time. */
function hasSameState(a: HostStatus, b: HostStatus): boolean {
	return a.isStoreLost === b.isStoreLost && a.peers === b.peers && Object.entries(a.changes).every(([kind, revision]) => revision === b.changes[kind]);
}

/**
Creates the function that leaves the members of a sum which others should hear of now: those whose state has changed, at once, and
each of the others once in `everyMs`. Load pattern: many hosts whose state seldom changes, on thin links.
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
