import {expect, test} from 'vitest';
import {createServiceLatencyModel} from '../../src/decide/forwarding/create-service-latency-model.js';
import {type AdmittedRequest} from '../../src/forwarding/admitted-request.js';
import {createSender} from '../../src/forwarding/create-sender.js';
import {type ForwardingProgress} from '../../src/forwarding/forwarding-progress.js';
import {type Placement} from '../../src/forwarding/placement.js';
import {type ResponseHead} from '../../src/forwarding/response-head.js';
import {type ResponseListener} from '../../src/forwarding/response-listener.js';
import {createByteBudget} from '../../src/util/create-byte-budget.js';

/** Guards against prompts that count as waiting in a ledger until their whole answer has been read. */
test('the end of the prefill is recorded with the head of the response, before its body', async () => {
	let listener: ResponseListener | undefined;
	let answered = 0;
	const send = createSender({
		registry: {
			onSilence: () => () => undefined,
			send(_upstream: unknown, _request: unknown, _cost: unknown, given: ResponseListener) {
				listener = given;
				return {abort: () => undefined, resume: () => undefined};
			},
		} as never,
		getLatencyModel: () => createServiceLatencyModel(),
		encode: () => [],
		recordBegin: () => undefined,
		keptBytes: createByteBudget(() => 1000, 1000),
		now: () => 0,
	});
	const admitted = {
		request: {id: 'r', method: 'POST', target: '/'}, route: {kind: 'once'}, body: undefined, receivedAt: 0,
		signal: new AbortController().signal, stop: {signal: new AbortController().signal},
		answer: {
			isHeadSent: () => false, begin: () => undefined, write: () => true, pendingBytes: () => 0, onDrain: () => undefined, end: () => undefined, abort: () => undefined,
		},
	} as unknown as AdmittedRequest;
	const placement = {
		upstream: {id: 'u', softwareVersion: ''}, options: {}, firstByteMs: 1, recordSent: () => undefined,
		claim: {
			candidatesTried: 1, quotedWaitMs: 0, recordAnswered() {
				answered++;
			},
		},
	} as unknown as Placement;
	const outcome = send(admitted, {service: 's', endsAt: 1000, splitter: undefined} as unknown as ForwardingProgress, placement);
	expect(answered).toBe(0);
	listener!.onHead({
		status: 200, requestId: 'r', isSigned: true, isNotRun: false, isMerged: false, isEncoded: false, headers: [], framing: 'length', announcement: {},
	} as unknown as ResponseHead);
	expect(answered).toBe(1);
	listener!.onData(Buffer.from('body'));
	listener!.onEnd();
	expect((await outcome).kind).toBe('answered');
	expect(answered).toBe(1);
});
