// Guards against callers that end a process, or keep it from ordinary callers, with requests of legal size: docs/design/untrusted-callers.md.
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startCrowdedHost, type CrowdedHost, type CrowdSender} from '../support/start-crowded-host.js';

const bytesPerMiB = 1024 * 1024;
const maxBodyBytes = 4 * bytesPerMiB;
/** Bodies are sent from one piece of memory. */
const filler = Buffer.alloc(64 * 1024, 'x');
const smallChunk = Buffer.from('1\r\nx\r\n'.repeat(8192));
const largeChunk = Buffer.concat([Buffer.from(`${filler.length.toString(16)}\r\n`), filler, Buffer.from('\r\n')]);

let host: CrowdedHost;

beforeEach(async () => {
	host = await startCrowdedHost();
});

afterEach(async () => {
	await host.stop();
});

const post = (headers: string, target = '/read/x'): string => buildRawRequest({
	method: 'POST', target, deadlineMs: 60_000, headers, keepAlive: true,
});
const announced = (bytes: number): string => post(`Content-Length: ${bytes}\r\n`);
const chunked = (): string => post('Transfer-Encoding: chunked\r\n');
const times = (count: number, create: () => CrowdSender): readonly CrowdSender[] => Array.from({length: count}, create);

const wholeBodies = (count: number): readonly CrowdSender[] => times(count, () => ({head: announced(maxBodyBytes), piece: filler, bytes: maxBodyBytes - 1}));
const bodiesInPieces = (count: number): readonly CrowdSender[] => times(count, () => ({
	head: announced(maxBodyBytes), piece: filler.subarray(0, 16_384), bytes: maxBodyBytes - 1, pauseMs: 1,
}));
const largeChunks = (count: number): readonly CrowdSender[] => times(count, () => ({head: chunked(), piece: largeChunk, bytes: 63 * largeChunk.length}));
/** 256 KiB in chunks of one byte each. */
const smallChunks = (count: number): readonly CrowdSender[] => times(count, () => ({head: chunked(), piece: smallChunk, bytes: 32 * smallChunk.length}));
const announcedOverLimit = (count: number): readonly CrowdSender[] => times(count, () => ({head: announced(64 * bytesPerMiB), piece: filler, bytes: 8 * bytesPerMiB}));
const sentOverLimit = (count: number): readonly CrowdSender[] => times(count, () => ({head: chunked(), piece: largeChunk, bytes: 128 * largeChunk.length}));
const silent = (count: number): readonly CrowdSender[] => times(count, () => ({head: '', piece: filler, bytes: 0}));
const halfHeads = (count: number): readonly CrowdSender[] => times(count, () => ({head: 'POST /read/x HTTP/1.1\r\nHost: app.exa', piece: filler, bytes: 0}));

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
		const sending = host.sendAll(host.addresses.callers, createSenders());
		await sleep(200);
		const beside = await host.ask();
		await sending;
		const after = await host.ask();
		host.expectSound();
		expect([beside.status, after.status]).toEqual([200, 200]);
	}, 90_000);

	test('one body of the largest size in chunks of one byte is served', async () => {
		const sending = sendRawRequest(host.addresses.callers, Buffer.concat([
			Buffer.from(buildRawRequest({
				method: 'POST', id: 'single', target: '/read/x', deadlineMs: 60_000, headers: 'Transfer-Encoding: chunked\r\n',
			})),
			...Array.from({length: maxBodyBytes / 8192}, () => smallChunk),
			Buffer.from('0\r\n\r\n'),
		]));
		const {status} = await sending;
		host.expectSound();
		expect(status).toBe(200);
		expect(host.upstream.receivedRequests.at(-1)?.body.length).toBe(maxBodyBytes);
	}, 90_000);
});
