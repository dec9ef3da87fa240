// Guards against docs/incidents/more-upstreams-than-a-route-allows.md.
import {type Socket} from 'node:net';
import {describe, expect, test} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {type LinkFault} from '../support/create-link.js';
import {sendSignedResponse, type ReceivedRequest} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {type RawResponse, sendRawRequest} from '../support/send-raw-request.js';
import {startLinkedSystem, type LinkedSystem} from '../support/start-linked-system.js';

const domains = ['domain-a', 'domain-a', 'domain-b', 'domain-b'];
const maxAttempts = 2;
const requestsPerCase = 24;
const intervalMs = 40;
/** Time from the cut to the first request, in the cases that are cut before. */
const settleMs = 600;
const deadlineMs = 2500;

type Answer = (received: ReceivedRequest, socket: Socket) => void;

const head = (received: ReceivedRequest, headers: string): string => `HTTP/1.1 200 OK\r\nRequest-Id: ${received.headers.get('request-id')}\r\nResponse-Seal: s\r\n${headers}\r\n`;

/** What upstreams do that have run a request and then fail it. */
const failures: Readonly<Record<string, Answer>> = {
	'answer 500'(received, socket) {
		sendSignedResponse(received, socket, 'failed', '500 Failed');
	},
	'break off at once'(_received, socket) {
		socket.resetAndDestroy();
	},
	'break off in the body'(received, socket) {
		socket.write(`${head(received, 'Content-Length: 100\r\n')}part`, () => {
			setTimeout(() => socket.resetAndDestroy(), 10);
		});
	},
	'break off after an event'(received, socket) {
		const after = Number(received.headers.get('last-event-id') ?? -1);
		const event = `id: ${after + 1}\ndata: e\n\n`;
		socket.write(`${head(received, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')}${event.length.toString(16)}\r\n${event}\r\n`, () => {
			setTimeout(() => socket.resetAndDestroy(), 10);
		});
	},
	'never answer'() {
		// The request runs until its caller has left.
	},
};

const faults: readonly LinkFault[] = ['silent', 'reset', 'refused'];
const moments = ['cut before', 'cut under way', 'healed under way', 'three of four hosts cut before'] as const;

/** A response, and when its request was sent, from the start of the test's process, and how long it took. */
type Played = {readonly sentMs: number; readonly tookMs: number; readonly response: RawResponse};

async function sendOne(callers: string, target: string): Promise<Played> {
	const sentMs = performance.now();
	const response = await sendRawRequest(callers, buildRawRequest({target, deadlineMs}));
	return {sentMs, tookMs: performance.now() - sentMs, response};
}

async function sendToEach(system: LinkedSystem, indexes: readonly number[], target: string, count: number): Promise<ReadonlyArray<Promise<Played>>> {
	const calls: Array<Promise<Played>> = [];
	for (let index = 0; index < count; index++) {
		const {gateway} = system.hosts[indexes[index % indexes.length]!]!;
		calls.push(sendOne(gateway.callers, target));
		await sleep(intervalMs);
	}

	return calls;
}

/** Returns the number of upstreams that each request reached, most first. */
function countUpstreams({upstreams}: LinkedSystem): readonly number[] {
	const reached = new Map<string, Set<number>>();
	for (const [index, {receivedRequests}] of upstreams.entries()) {
		for (const {headers} of receivedRequests) {
			const id = headers.get('request-id');
			if (id !== undefined) {
				reached.set(id, (reached.get(id) ?? new Set()).add(index));
			}
		}
	}

	return [...reached.values()].map(indexes => indexes.size).toSorted((a, b) => b - a);
}

const describePlayed = (played: readonly Played[]): string => played.map(({sentMs, tookMs, response: {status, isReset, body}}) =>
	`sent at ${Math.round(sentMs)} ms, ${status}${isReset ? ' reset' : ''} after ${Math.round(tookMs)} ms: ${body}`).join('\n');

function respondWith(fail: Answer): Answer {
	return (received, socket) => {
		if (received.target === '/health') {
			sendSignedResponse(received, socket);
		} else {
			fail(received, socket);
		}
	};
}

describe.concurrent('a request runs at no more upstreams than its route allows, over all hosts together', () => {
	test.each(faults.flatMap(fault => Object.keys(failures).flatMap(failure => moments.flatMap(moment => ['/read/x', '/ask/x'].map(target => [
		`links ${fault}, upstreams ${failure}, ${moment}, ${target}`, fault, failures[failure]!, moment, target,
	] as const)))))('%s', async (_name, fault, fail, moment, target) => {
		const system = await startLinkedSystem({
			domains, upstreams: 8, respond: respondWith(fail), bounds: {retrySlack: 1000},
			configuration: {routes: platformObjects.configuration(1).routes.map(route => ({...route, timeout_ms: deadlineMs}))},
		});
		const cutIndexes = moment === 'three of four hosts cut before' ? [0, 1, 2] : [0];
		const cutHosts = cutIndexes.map(index => system.hosts[index]!);
		const cut = async (): Promise<unknown> => Promise.all(cutHosts.map(async host => host.cut(fault)));
		const heal = async (): Promise<unknown> => Promise.all(cutHosts.map(async host => host.heal()));
		if (moment !== 'cut under way') {
			await cut();
			await sleep(settleMs);
		}

		const first = await sendToEach(system, cutIndexes, target, requestsPerCase / 2);
		if (moment === 'cut under way') {
			await cut();
		} else if (moment === 'healed under way') {
			await heal();
		}

		const second = await sendToEach(system, cutIndexes, target, requestsPerCase / 2);
		const played = await Promise.all([...first, ...second]);
		const counts = countUpstreams(system);
		await system.stop();
		expect(counts.filter(count => count > maxAttempts)).toEqual([]);
		expect(counts.length, describePlayed(played)).toBeGreaterThan(0);
	});
});
