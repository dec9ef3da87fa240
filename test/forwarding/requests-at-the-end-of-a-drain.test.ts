// Guards against docs/incidents/requests-cut-while-a-stopping-host-stores.md.
import {once} from 'node:events';
import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {
	createUpstreamServer, sendSignedResponse, type RequestHandler, type UpstreamServer,
} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest, type RawResponse} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {beginStream, respondWithVersion} from '../support/versioned-streams.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const versions = ['v1', 'v2'] as const;
const graceS = 6;
/** Shorter than the time in which a stopping host stores its streams. */
const workMs = 120;
/** Requests come closer together than that time, with pauses in which none is under way. */
const pauseMs = 60;
const deadlineMs = 800;
/** A store that is slow responds, but not to all writes within the time that a stopping host has for them. */
const slowMs = 250;

let store: ObjectStoreServer;
let upstreams: readonly UpstreamServer[];
let hosts: readonly TestGateway[];
const drained = new Set<TestGateway>();

const answerLater: RequestHandler = (received, socket) => {
	if (received.target === '/health') {
		sendSignedResponse(received, socket);
		return;
	}

	setTimeout(() => {
		sendSignedResponse(received, socket);
	}, workMs);
};

beforeEach(async () => {
	store = await createObjectStoreServer();
	upstreams = await Promise.all(versions.map(async () => createUpstreamServer()));
	store.put('config', 'main', platformObjects.configuration(1));
	for (const [index, upstream] of upstreams.entries()) {
		upstream.answer = (received, socket) => {
			if (received.target.startsWith('/ask/')) {
				respondWithVersion(versions[index]!, received, socket);
			} else {
				answerLater(received, socket);
			}
		};

		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address, {version: versions[index]!, slots: 64}));
	}

	hosts = await Promise.all(['domain-a', 'domain-b'].map(async domain => startTestGateway(store.address, {domain, bounds: {graceS, retrySlack: 1000}})));
	await Promise.all(hosts.map(async host => waitUntilReady(host)));
	await sleep(1200);
});

afterEach(async () => {
	await Promise.all(hosts.filter(host => !drained.has(host)).map(async host => host.stop()));
	drained.clear();
	store.stop();
	for (const upstream of upstreams) {
		upstream.stop();
	}
});

const hasReached = (id: string): boolean => upstreams.some(({receivedRequests}) => receivedRequests.some(({headers}) => headers.get('request-id') === id));

/** Sends one request after the other, each on a connection of its own, until the host is gone; returns each with its answer. */
async function sendUntilGone({callers}: TestGateway, target: string, isGone: () => boolean): Promise<ReadonlyArray<{readonly id: string; readonly answer: RawResponse}>> {
	const sent: Array<{readonly id: string; readonly answer: RawResponse}> = [];
	for (let index = 0; !isGone(); index++) {
		const id = `late${target.replaceAll('/', '-')}-${index}`;
		sent.push({id, answer: await sendRawRequest(callers, buildRawRequest({target, id, deadlineMs}))});
		await sleep(pauseMs);
	}

	return sent;
}

/** What became of the store when the host is told to stop. */
const stores = {
	responds: () => undefined,
	'responds slowly'() {
		store.faults.responseDelayMs = slowMs;
	},
	'is silent'() {
		store.faults.isUnresponsive = true;
	},
} as const;

/** A host that had nothing under way for a moment stored its streams, took requests meanwhile, and cut them. */
describe('a stopping host ends with a complete answer each request that it has passed on', () => {
	test.each(Object.entries(stores).flatMap(([name, change]) => [
		[name, '/read/x', change] as const, [name, '/book/x', change] as const,
	]))('while the store %s: %s', async (_name, target, change) => {
		const [host] = hosts as readonly [TestGateway];
		change();
		let isGone = false;
		const stopping = (async () => {
			drained.add(host);
			await host.drain();
			isGone = true;
		})();
		await sleep(1500);
		// Streams that are begun last are those which the host has to store at its end.
		const streams = (async () => {
			for (let index = 0; !isGone; index++) {
				await beginStream(host.callers, `stream-${index}`);
				await sleep(pauseMs);
			}
		})();
		const sent = await Promise.all([sendUntilGone(host, target, () => isGone), sendUntilGone(host, `${target}2`, () => isGone)]);
		await Promise.all([stopping, streams]);
		const cut = sent.flat().filter(({id, answer}) => hasReached(id) && !(answer.isWhole && answer.status === 200));
		expect(sent.flat().filter(({id}) => hasReached(id)).length).toBeGreaterThan(0);
		expect(cut.map(({id}) => id)).toEqual([]);
	});
});

/** Sends two requests in one write on one connection, the second one with another time of work; returns all that is answered. */
async function sendTwo({callers}: TestGateway, targets: readonly [string, string], betweenMs: number): Promise<string> {
	const [host, port] = callers.split(':');
	const [first, second] = targets.map((target, index) => buildRawRequest({
		target, id: `pipelined-${index}`, deadlineMs: 1500, keepAlive: true,
	}));
	const socket = connect({host: host!, port: Number(port)});
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
	});
	socket.on('error', () => undefined);
	const closed = once(socket, 'close');
	socket.write(first!);
	if (betweenMs > 0) {
		await sleep(betweenMs);
	}

	socket.write(second!);
	await closed;
	return text;
}

/** The first answer said that the connection closes, and the second request was cut after it had been passed on. */
describe('a stopping host cuts no request that follows another on its connection and that it has passed on', () => {
	test.each([
		['both before the first answer', 0],
		['the second just after the first answer', workMs + 5],
		['the second while the first is under way', workMs / 2],
	])('%s', async (_name, betweenMs) => {
		const [host] = hosts as readonly [TestGateway];
		drained.add(host);
		const stopping = host.drain();
		const text = await sendTwo(host, ['/read/first', '/read/second'], betweenMs);
		const answers = text.split('whole answer').length - 1;
		expect(answers).toBe(hasReached('pipelined-1') ? 2 : 1);
		await stopping;
	});
});
