import {type ResponseHead} from '../forwarding/response-head.js';
import {type UpstreamEntry} from './upstream-entry.js';

const misdirectedStatus = 421;
const unavailableStatus = 503;

/** Records what the head of a response says of its upstream. A response with status 421 may come from another upstream at the address. */
export function recordAnnouncement({announcements, coldGate}: UpstreamEntry, head: ResponseHead, askedAt: number, now: number): void {
	const {announcement, status, requestId, isSigned, retryAfterMs = 0} = head;
	if (status === misdirectedStatus) {
		return;
	}

	coldGate.recordContact(askedAt, now);
	if (announcement.coldForMs !== undefined) {
		coldGate.record({forMs: announcement.coldForMs, askedAt, answeredAt: now});
	}

	announcements.record(announcement, {askedAt, requestId, isSigned}, now);
	if (status === unavailableStatus && retryAfterMs > 0) {
		announcements.rest(now + retryAfterMs, requestId, now);
	}
}
