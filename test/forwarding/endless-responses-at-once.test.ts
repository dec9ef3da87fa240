import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, sendSignedResponse, type UpstreamServer} from '../support/create-upstream-server.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startProcess, type TestProcess} from '../support/start-process.js';
import {waitUntil} from '../support/wait-until.js';

/** Memory of a host on the users' machines. */
const memoryLimitKb = 350 * 1024;
/** As in deploy/system.toml. */
const deployedNodeArgs = ['--max-old-space-size=96', '--min-semi-space-size=4', '--max-semi-space-size=4'];
const requests = 400;
const nearlyOneMiB = 1_000_000;
const nearlyFourMiB = 4_000_000;

let store: ObjectStoreServer;
let upstreams: readonly UpstreamServer[];
let host: TestProcess;
let callers: string;

beforeEach(async () => {
	store = await createObjectStoreServer();
	upstreams = await Promise.all(Array.from({length: 4}, async () => createUpstreamServer()));
	const slow = {timeout_ms: 6000, goal_ms: 6000};
	store.put('config', 'main', platformObjects.configuration(1, {
		routes: [platformObjects.route(slow), platformObjects.route({
			...slow, name: 'r-stream', path_prefix: '/ask/', kind: 'streaming', resumable: true,
		})],
		services: [{
			name: 'app', health_path: '/health', max_conns: 4000, protocol: 'h1', tls: false,
		}],
	}));
	for (const [index, upstream] of upstreams.entries()) {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address, {slots: 400}));
	}

	const [callerPort, readinessPort, peerPort, reportPort, metricsPort] = await findTestPorts(5);
	callers = `127.0.0.1:${callerPort}`;
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'host-')), 'host.jsonc');
	writeFileSync(file, JSON.stringify({
		name: 'host-1', domain: 'domain-a', region: 'region-a', callers, readiness: `127.0.0.1:${readinessPort}`,
		peers: `127.0.0.1:${peerPort}`, reports: `127.0.0.1:${reportPort}`, metricsPort, objectStore: store.address,
	}));
	host = startProcess(['gateway', '--settings', file], deployedNodeArgs);
	await waitUntil('the host to be ready', async () => {
		const {ok} = await fetch(`http://127.0.0.1:${readinessPort}/v1/readiness`);
		return ok;
	});
});

afterEach(async () => {
	host.child.kill('SIGKILL');
	await host.waitForExit();
	store.stop();
	for (const upstream of upstreams) {
		upstream.stop();
	}
});

const readPeakMemoryKb = (): number => Number(/^VmHWM:\s+(\d+) kB/mv.exec(readFileSync(`/proc/${host.child.pid}/status`, 'utf8'))?.[1]);

/** Sends a request and reads nothing of its response, until the socket is destroyed. */
function sendWithoutReading(target: string, id: string) {
	const [ip, port] = callers.split(':');
	const socket = connect({host: ip!, port: Number(port)});
	socket.on('error', () => undefined);
	socket.pause();
	socket.write(buildRawRequest({id, target, deadlineMs: 6000}));
	return socket;
}

const signed = (id: string): string => `Request-Id: ${id}\r\nResponse-Seal: s\r\n`;

/** Each response was bounded by itself; many at once took more memory than a host has, and all requests on it ended with it. */
describe('many responses that do not end', () => {
	test.each([
		['bodies of failures', '/read/x', false, 'HTTP/1.1 500 Internal Server Error', 'Content-Length: 1048000', nearlyOneMiB],
		['events', '/ask/x', false, 'HTTP/1.1 200 OK', 'Content-Type: text/event-stream', nearlyOneMiB],
		['bodies that callers do not read', '/read/x', true, 'HTTP/1.1 200 OK', 'Connection: close', nearlyFourMiB],
	])('leave the host its memory, and other requests go on: %s', async (_name, target, isUnread, statusLine, header, bytes) => {
		const body = Buffer.alloc(bytes, 'x');
		let floods = 0;
		for (const upstream of upstreams) {
			upstream.answer = (received, socket) => {
				const id = received.headers.get('request-id') ?? '';
				if (!id.startsWith('flood')) {
					sendSignedResponse(received, socket);
					return;
				}

				floods++;
				socket.write(`${statusLine}\r\n${signed(id)}${header}\r\n\r\n`);
				socket.write(body);
			};
		}

		const sockets = isUnread ? Array.from({length: requests}, (_, index) => sendWithoutReading(target, `flood-${index}`)) : [];
		const floodResponses = isUnread ? [] : Array.from({length: requests}, async (_, index) => sendRawRequest(callers, buildRawRequest({id: `flood-${index}`, target, deadlineMs: 6000})));
		await waitUntil('the responses to have begun', () => floods >= requests / 2);
		await Promise.all(floodResponses);
		const neighbours = await Promise.all(Array.from({length: 8}, async (_, index) => sendRawRequest(callers, buildRawRequest({id: `neighbour-${index}`, deadlineMs: 6000}))));
		for (const socket of sockets) {
			socket.destroy();
		}

		expect(neighbours.map(({status, isWhole}) => [status, isWhole])).toEqual(neighbours.map(() => [200, true]));
		expect(host.child.exitCode).toBeNull();
		expect(readPeakMemoryKb()).toBeLessThan(memoryLimitKb);
	}, 60_000);
});
