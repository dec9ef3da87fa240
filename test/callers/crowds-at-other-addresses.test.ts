// Guards against crowds at the addresses for other hosts and for status, which anybody who reaches them can send to: docs/design/untrusted-callers.md.
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {startCrowdedHost, type CrowdedHost, type CrowdSender} from '../support/start-crowded-host.js';

const maxBodyBytes = 4 * 1024 * 1024;
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

const times = (count: number, create: () => CrowdSender): readonly CrowdSender[] => Array.from({length: count}, create);
const post = (headers: string): string => `POST / HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n${headers}\r\n`;
const wholeBodies = (count: number): readonly CrowdSender[] => times(count, () => ({head: post(`Content-Length: ${maxBodyBytes}\r\n`), piece: filler, bytes: maxBodyBytes - 1}));
const largeChunks = (count: number): readonly CrowdSender[] => times(count, () => ({head: post('Transfer-Encoding: chunked\r\n'), piece: largeChunk, bytes: 63 * largeChunk.length}));
const smallChunks = (count: number): readonly CrowdSender[] => times(count, () => ({head: post('Transfer-Encoding: chunked\r\n'), piece: smallChunk, bytes: 32 * smallChunk.length}));
const silent = (count: number): readonly CrowdSender[] => times(count, () => ({head: '', piece: filler, bytes: 0}));

describe('a crowd at an address that is not for callers does not end a host, exceed its machine or keep out an ordinary caller', () => {
	test.each([
		['for peers', 'peers'],
		['for relayed requests', 'relayed'],
		['of the readiness check', 'readiness'],
		['of the metrics', 'metrics'],
	] as const)('%s', async (_name, address) => {
		const sending = host.sendAll(host.addresses[address], [...wholeBodies(32), ...largeChunks(16), ...smallChunks(8), ...silent(200)]);
		await sleep(200);
		const beside = await host.ask();
		await sending;
		const after = await host.ask();
		host.expectSound();
		expect([beside.status, after.status]).toEqual([200, 200]);
	}, 90_000);
});
