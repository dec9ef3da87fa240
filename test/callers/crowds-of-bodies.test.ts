// Guards against callers that end a process, or keep it from ordinary callers, with requests of legal size: docs/design/untrusted-callers.md.
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const bytesPerMiB = 1024 * 1024;
/** Memory of a small machine: 160 MiB, the smallest, and what this bundle takes beyond the deployed one, which holds one role only (10 to 20 MB when idle). */
const memoryLimitKb = 192 * 1024;
const deployedNodeArgs = ['--max-old-space-size=96', '--min-semi-space-size=4', '--max-semi-space-size=4'];
/** Soft and hard limit of the process, so that a crowd of two hundred reaches it. */
const descriptorLimit = 256;
const maxBodyBytes = 4 * bytesPerMiB;
/** A crowd sends for so long at most; what it has not sent by then stays unsent and its connections stay open. */
const crowdMs = 12_000;
const sampleMs = 50;
const requestMs = 20_000;
/** Bodies are sent from one piece of memory. */
const filler = Buffer.alloc(64 * 1024, 'x');
const smallChunk = Buffer.from('1\r\nx\r\n'.repeat(8192));
const largeChunk = Buffer.concat([Buffer.from(`${filler.length.toString(16)}\r\n`), filler, Buffer.from('\r\n')]);

/** What one connection sends: its head, then `piece` again and again up to `bytes`, after which it stays open. */
type Sender = {
	readonly head: string;
	readonly piece: Buffer;
	readonly bytes: number;
	/** Pause after each piece. */
	readonly pauseMs?: number;
};

let store: ObjectStoreServer;
let upstream: UpstreamServer;
let host: ChildProcess;
let callers: string;
let sockets: Socket[];
let output: string[];
let peakDescriptors: number;
let peakUnreadBytes: number;
let sampler: NodeJS.Timeout;

const countDescriptors = (): number => {
	try {
		return readdirSync(`/proc/${host.pid}/fd`).length;
	} catch {
		return 0;
	}
};

/** Field `tx_queue:rx_queue` of a line in /proc/net/tcp. */
const queuesField = 4;

/** Returns the bytes that the system has received for the host's callers and that the process has not read. */
const countUnreadBytes = (): number => {
	const localPort = `:${Number(callers.split(':')[1]).toString(16).toUpperCase().padStart(4, '0')}`;
	return readFileSync('/proc/net/tcp', 'utf8').split('\n').map(line => line.trim().split(/\s+/v))
		.filter(([, local]) => local?.endsWith(localPort))
		.reduce((sum, fields) => sum + Number.parseInt(fields[queuesField]!.split(':')[1]!, 16), 0);
};

beforeEach(async () => {
	store = await createObjectStoreServer();
	upstream = await createUpstreamServer();
	sockets = [];
	output = [];
	peakDescriptors = 0;
	peakUnreadBytes = 0;
	const slow = {timeout_ms: 60_000, goal_ms: 60_000};
	store.put('config', 'main', platformObjects.configuration(1, {
		routes: [platformObjects.route(slow), platformObjects.route({
			...slow, name: 'r-once', path_prefix: '/book/', kind: 'non_idempotent', max_attempts: 1,
		})],
		limits: {
			max_header_bytes: 8192, max_body_bytes: maxBodyBytes, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	}));
	store.put('servers', 'i-0', platformObjects.upstream(upstream.address, {slots: 64}));
	const [callerPort, readinessPort, peerPort, reportPort, metricsPort] = await findTestPorts(5);
	callers = `127.0.0.1:${callerPort}`;
	const settings = {
		name: 'host-1', domain: 'domain-a', region: 'region-a', callers, readiness: `127.0.0.1:${readinessPort}`,
		peers: `127.0.0.1:${peerPort}`, reports: `127.0.0.1:${reportPort}`, metricsPort, objectStore: store.address,
	};
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'host-')), 'host.jsonc');
	writeFileSync(file, JSON.stringify(settings));
	// The shell sets the limit and is replaced by the process.
	const command = `ulimit -n ${descriptorLimit}; exec "$0" "$@"`;
	host = spawn('sh', ['-c', command, process.execPath, ...deployedNodeArgs, 'dist/hemlockpier.cjs', 'gateway', '--settings', file], {stdio: ['ignore', 'pipe', 'pipe']});
	for (const stream of [host.stdout!, host.stderr!]) {
		stream.on('data', (chunk: Buffer) => {
			output.push(chunk.toString());
			output.splice(0, output.length - 200);
		});
	}

	await waitUntilReady(settings);
	sampler = setInterval(() => {
		peakDescriptors = Math.max(peakDescriptors, countDescriptors());
		peakUnreadBytes = Math.max(peakUnreadBytes, countUnreadBytes());
	}, sampleMs);
});

afterEach(async () => {
	clearInterval(sampler);
	for (const socket of sockets) {
		socket.destroy();
	}

	if (host.exitCode === null && host.signalCode === null) {
		host.kill('SIGKILL');
		await once(host, 'exit');
	}

	store.stop();
	upstream.stop();
});

const readPeakMemoryKb = (): number => Number(/^VmHWM:\s+(\d+) kB/mv.exec(readFileSync(`/proc/${host.pid}/status`, 'utf8'))?.[1]);

/** Sends as much as the host takes, until all is sent, the connection is closed or the crowd's time is over. */
async function send({head, piece, bytes, pauseMs = 0}: Sender, endsAt: number): Promise<void> {
	const [ip, port] = callers.split(':');
	const socket = connect({host: ip!, port: Number(port)});
	sockets.push(socket);
	socket.on('error', () => undefined);
	socket.resume();
	let rest = bytes;
	let canWrite = socket.write(head);
	while (rest > 0 && !socket.destroyed && socket.writable && performance.now() < endsAt) {
		if (canWrite) {
			const part = rest < piece.length ? piece.subarray(0, rest) : piece;
			rest -= part.length;
			canWrite = socket.write(part);
			await sleep(pauseMs);
		} else {
			await sleep(1);
			canWrite = !socket.writableNeedDrain;
		}
	}
}

async function sendAll(senders: readonly Sender[]): Promise<void> {
	const endsAt = performance.now() + crowdMs;
	await Promise.all(senders.map(async sender => send(sender, endsAt)));
}

const post = (headers: string, target = '/read/x'): string => buildRawRequest({
	method: 'POST', target, deadlineMs: 60_000, headers, keepAlive: true,
});
const announced = (bytes: number): string => post(`Content-Length: ${bytes}\r\n`);
const chunked = (): string => post('Transfer-Encoding: chunked\r\n');
const times = (count: number, create: () => Sender): readonly Sender[] => Array.from({length: count}, create);

const wholeBodies = (count: number): readonly Sender[] => times(count, () => ({head: announced(maxBodyBytes), piece: filler, bytes: maxBodyBytes - 1}));
const bodiesInPieces = (count: number): readonly Sender[] => times(count, () => ({
	head: announced(maxBodyBytes), piece: filler.subarray(0, 16_384), bytes: maxBodyBytes - 1, pauseMs: 1,
}));
const largeChunks = (count: number): readonly Sender[] => times(count, () => ({head: chunked(), piece: largeChunk, bytes: 63 * largeChunk.length}));
/** 256 KiB in chunks of one byte each. */
const smallChunks = (count: number): readonly Sender[] => times(count, () => ({head: chunked(), piece: smallChunk, bytes: 32 * smallChunk.length}));
const announcedOverLimit = (count: number): readonly Sender[] => times(count, () => ({head: announced(64 * bytesPerMiB), piece: filler, bytes: 8 * bytesPerMiB}));
const sentOverLimit = (count: number): readonly Sender[] => times(count, () => ({head: chunked(), piece: largeChunk, bytes: 128 * largeChunk.length}));
const silent = (count: number): readonly Sender[] => times(count, () => ({head: '', piece: filler, bytes: 0}));
const halfHeads = (count: number): readonly Sender[] => times(count, () => ({head: 'POST /read/x HTTP/1.1\r\nHost: app.exa', piece: filler, bytes: 0}));

const ask = async () => sendRawRequest(callers, buildRawRequest({
	method: 'POST', id: 'ordinary', target: '/read/x', deadlineMs: requestMs, body: 'prompt '.repeat(100),
}));

function expectSound(): void {
	expect([host.exitCode, host.signalCode], output.join('').slice(-3000)).toEqual([null, null]);
	const unreadKb = Math.ceil(peakUnreadBytes / 1024);
	expect(readPeakMemoryKb() + unreadKb).toBeLessThan(memoryLimitKb);
	expect(peakDescriptors).toBeLessThan(descriptorLimit);
}

describe('a crowd of callers does not end a host, exceed its machine or keep out an ordinary caller', () => {
	test.each([
		['large bodies sent whole, one byte short', () => wholeBodies(48)],
		['large bodies in pieces, one byte short', () => bodiesInPieces(48)],
		['large bodies in large chunks, without their end', () => largeChunks(48)],
		['bodies in chunks of one byte, without their end', () => smallChunks(24)],
		['bodies announced far over the limit', () => announcedOverLimit(32)],
		['bodies over the limit that announce no length', () => sentOverLimit(48)],
		['connections that send nothing', () => silent(300)],
		['connections that send half a head', () => halfHeads(300)],
		['all kinds at once', () => [
			...wholeBodies(12), ...bodiesInPieces(12), ...largeChunks(12), ...smallChunks(8), ...announcedOverLimit(8), ...sentOverLimit(8), ...silent(150), ...halfHeads(150),
		]],
	])('%s', async (_name, createSenders) => {
		const sending = sendAll(createSenders());
		await sleep(200);
		const beside = await ask();
		await sending;
		const after = await ask();
		expectSound();
		expect([beside.status, after.status]).toEqual([200, 200]);
	}, 90_000);

	test('one body of the largest size in chunks of one byte is served', async () => {
		const sending = sendRawRequest(callers, Buffer.concat([
			Buffer.from(buildRawRequest({
				method: 'POST', id: 'single', target: '/read/x', deadlineMs: 60_000, headers: 'Transfer-Encoding: chunked\r\n',
			})),
			...Array.from({length: maxBodyBytes / 8192}, () => smallChunk),
			Buffer.from('0\r\n\r\n'),
		]));
		const {status} = await sending;
		expectSound();
		expect(status).toBe(200);
		expect(upstream.receivedRequests.at(-1)?.body.length).toBe(maxBodyBytes);
	}, 90_000);
});
