import {connect} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import fc from 'fast-check';
import {request} from 'undici';
import {requestCompletion} from '../support/request-completion.js';
import {countEngineRuns, readStandInCounts, readHostStatus} from '../support/fleet-control.js';
import {fleetApiKeys, startFleet, type Fleet} from '../support/start-fleet.js';

const waitMs = 3000;
const peerMethods = ['grant.ask', 'grant.renew', 'commit.claim', 'gossip.sync', 'config.push', 'context.add', 'context.lookup', 'poison.end', 'nix'] as const;

async function sendRaw(address: string, text: string | Uint8Array, cut = false): Promise<string> {
	return new Promise(resolve => {
		const [host, port] = address.split(':');
		const socket = connect(Number(port), host);
		let answer = '';
		socket.on('connect', () => {
			socket.write(text);
			if (cut) {
				setTimeout(() => {
					socket.destroy();
				}, 50);
			}
		});
		socket.on('data', chunk => {
			answer += chunk.toString();
			socket.end();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(answer);
		});
		setTimeout(() => {
			socket.destroy();
		}, waitMs);
	});
}

const auth = `authorization: Bearer ${fleetApiKeys.acme}`;
const post = (path: string, body: string, headers: readonly string[] = [auth]): string =>
	`POST ${path} HTTP/1.1\r\nhost: h\r\n${headers.map(header => `${header}\r\n`).join('')}content-length: ${body.length}\r\n\r\n${body}`;

const cases: ReadonlyArray<readonly [string, string, number, string]> = [
	['no key', post('/v1/completions', '{}', []), 401, 'unauthorized'],
	['an unknown key', post('/v1/completions', '{}', ['authorization: Bearer nobody']), 401, 'unauthorized'],
	['malformed JSON', post('/v1/completions', '{"model":'), 400, 'bad-request'],
	['a wrong type', post('/v1/completions', '{"model":5}'), 400, 'bad-request'],
	['no prompt', post('/v1/completions', '{"model":"small"}'), 400, 'bad-request'],
	['an unknown model', post('/v1/completions', '{"model":"nix","prompt":"p"}'), 404, 'unknown-model'],
	['a wrong method', `GET /v1/completions HTTP/1.1\r\nhost: h\r\n${auth}\r\n\r\n`, 405, 'method-not-allowed'],
	['an unknown route', post('/v2/completions', '{}'), 404, 'unknown-route'],
	['an unknown service', post('/services/nix/bookings', '{}'), 404, 'unknown-service'],
	['an unknown route of a service', post('/services/booking/nix', '{}'), 404, 'unknown-route'],
	['a wrong method of a service', post('/services/booking/slots', '{}'), 405, 'method-not-allowed'],
	['a commitment without a key', post('/services/booking/bookings', '{}'), 400, 'key-required'],
	['an address that can not be decoded', post('/services/booking/%E0%A4%A', '{}'), 404, 'unknown-route'],
	['an oversized body', post('/v1/completions', 'x'.repeat(300_000)), 413, 'too-large'],
	['oversized headers', post('/v1/completions', '{}', [auth, `x-long: ${'y'.repeat(20_000)}`]), 431, 'too-large'],
	['two lengths', `POST /v1/completions HTTP/1.1\r\nhost: h\r\n${auth}\r\ncontent-length: 2\r\ncontent-length: 9\r\n\r\n{}`, 400, 'bad-request'],
	['a length and chunks', `POST /v1/completions HTTP/1.1\r\nhost: h\r\n${auth}\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`, 400, 'bad-request'],
	['a body that does not arrive', `POST /v1/completions HTTP/1.1\r\nhost: h\r\n${auth}\r\ncontent-length: 20\r\n\r\n{`, 408, 'slow-caller'],
	['no HTTP at all', 'hello there\r\n\r\n', 400, 'bad-request'],
];

describe('bad input', () => {
	let fleet: Fleet;

	beforeAll(async () => {
		fleet = await startFleet({
			domains: ['west-1'], hostsPerDomain: 1, engines: 1,
			hostSettings: {limits: {bodyBytes: 200_000, headerBytes: 16_384, bodyMs: 1000}},
		});
	});

	afterAll(async () => {
		await fleet.stop();
	});

	it.each(cases)('answers %s clearly and runs nothing', async (_name, text, status, kind) => {
		const answer = await sendRaw(fleet.hosts[0]!.callers, text);
		expect(answer).toContain(`HTTP/1.1 ${status}`);
		expect(answer.toLowerCase()).toContain('x-request-id');
		expect(answer).toContain(`"kind":"${kind}"`);
		expect(answer).toContain('"ran":"no"');
		expect(await countEngineRuns(fleet.engines)).toBe(0);
		expect((await readStandInCounts(fleet.service)).runs).toEqual({});
	});

	it('lives on after a caller cuts off its body', async () => {
		await sendRaw(fleet.hosts[0]!.callers, `POST /v1/completions HTTP/1.1\r\nhost: h\r\n${auth}\r\ncontent-length: 20\r\n\r\n{`, true);
		expect(await countEngineRuns(fleet.engines)).toBe(0);
		expect((await readHostStatus(fleet.hosts[0]!)).state).toBe('alive');
	});

	it('lives on after whatever bytes arrive at any of its addresses', async () => {
		const {callers, peers, operators} = fleet.hosts[0]!;
		const rpc = fc.record({
			jsonrpc: fc.constant('2.0'), id: fc.nat(), method: fc.constantFrom(...peerMethods), params: fc.jsonValue(),
		});
		const targets = [[callers, '/v1/completions'], [callers, '/services/booking/bookings'], [peers, '/rpc'], [operators, '/mark']] as const;
		const body = fc.oneof(fc.json(), fc.string(), rpc.map(value => JSON.stringify(value)));
		await fc.assert(fc.asyncProperty(
			fc.constantFrom(...targets),
			body,
			async ([address, path], text) => {
				const answer = await request(`http://${address}${path}`, {method: 'POST', body: text, headers: {authorization: `Bearer ${fleetApiKeys.acme}`}});
				await answer.body.dump();
				expect(answer.statusCode).toBeGreaterThanOrEqual(200);
			},
		), {seed: 81, numRuns: 300});
		await fc.assert(fc.asyncProperty(fc.constantFrom(callers, peers, operators), fc.uint8Array({minLength: 1, maxLength: 200}), async (address, bytes) => {
			await sendRaw(address, bytes, true);
		}), {seed: 82, numRuns: 20});
		const answer = await requestCompletion(callers, fleetApiKeys.acme, {prompt: 'still there', max_tokens: 2});
		expect(answer.isWhole).toBe(true);
	});
});
