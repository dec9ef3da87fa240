import {createSseEventSplitter} from '../streams/create-sse-event-splitter.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type ForwardingProgress} from './forwarding-progress.js';

/** Creates the progress of a request that has not been sent yet. */
export function createForwardingProgress({route, endsAt, attempts}: AdmittedRequest, service: string): ForwardingProgress {
	const {sends, upstreams} = attempts.spent();
	return {
		service,
		attempts,
		triedUpstreams: new Set(upstreams),
		idleHelpers: new Set(),
		usedHelpers: new Set(),
		endsAt,
		splitter: route.kind === 'stream' ? createSseEventSplitter(route.isResumable) : undefined,
		begunVersion: undefined,
		softwareVersion: undefined,
		isVersionUnknown: false,
		paidSends: sends,
		ran: 'no',
		lastReason: 'no upstream takes requests of this route',
	};
}
