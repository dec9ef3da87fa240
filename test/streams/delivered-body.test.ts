import {describe, expect, test} from 'vitest';
import {createDeliveredBody} from '../../src/streams/create-delivered-body.js';
import {type CallerResponse} from '../../src/forwarding/caller-response.js';
import {responseLimits} from '../../src/forwarding/response-limits.js';

const chunkCount = 1000;
const chunk = Buffer.from('x');
const received = {
	framing: 'chunked' as const, isCloseAnnounced: true, bodyBytes: 0, unfinishedEventBytes: 0,
};

/** Delivers chunks to a caller that doesn't read; returns what was asked of the caller's response and of the upstream's. */
function deliver(pendingBytes: number) {
	const drains: Array<() => void> = [];
	const aborts: string[] = [];
	let resumes = 0;
	const answer: Partial<CallerResponse> = {
		write: () => false,
		pendingBytes: () => pendingBytes,
		onDrain(callback) {
			drains.push(callback);
		},
	};
	const body = createDeliveredBody({
		head: {status: 200, mediaType: undefined, headers: []} as unknown as Parameters<typeof createDeliveredBody>[0]['head'],
		answer: answer as CallerResponse,
		splitter: undefined,
		isResumedByCaller: false, kept: {keep: () => true, close: () => undefined},
		describeReceived: () => received,
		abort(reason) {
			aborts.push(reason);
		},
		resume() {
			resumes++;
		},
	});
	for (let count = 0; count < chunkCount; count++) {
		body.push(chunk);
	}

	return {
		body, drains, aborts, countResumes: () => resumes,
	};
}

describe('a response that can\'t be paused, to a caller that doesn\'t read', () => {
	test('waits once for the caller, however many chunks arrive', () => {
		const {body, drains, aborts, countResumes} = deliver(0);
		expect([drains.length, aborts]).toEqual([1, []]);
		drains[0]!();
		body.push(chunk);
		expect([drains.length, countResumes()]).toEqual([2, 1]);
	});

	test('is aborted once too many bytes wait', () => {
		const {drains, aborts} = deliver(responseLimits.undeliveredBytes + 1);
		expect([drains.length, aborts[0]]).toEqual([0, 'the caller reads too slowly']);
	});
});
