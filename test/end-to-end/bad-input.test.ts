import {connect} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import fc from 'fast-check';
import {request} from 'undici';
import {requestCompletion} from '../support/request-completion.js';
import {countEngineRuns, readStandInCounts, readHostStatus} from '../support/fleet-control.js';
import {fleetApiKeys, startFleet, type Fleet} from '../support/start-fleet.js';

const timeoutMs = 3000;
const peerMethods = ['grant.ask', 'grant.renew', 'commit.claim', 'gossip.sync', 'config.push', 'context.add', 'context.lookup', 'poison.end', 'nix'] as const;

async function sendRaw(address: string, text: string | Uint8Array, resetsEarly = false): Promise<string> {
	return new Promise(resolve => {
		const [host, port] = address.split(':');
		const socket = connect(Number(port), host);
		let response = '';
		socket.on('connect', () => {
			socket.write(text);
			if (resetsEarly) {
				setTimeout(() => {
					socket.destroy();
				}, 50);
			}
		});
		socket.on('data', chunk => {
			response += chunk.toString();
			socket.end();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(response);
		});
		setTimeout(() => {
			socket.destroy();
		}, timeoutMs);
	});
}

const authorizationHeader = `authorization: Bearer ${fleetApiKeys.acme}`;
const formatPost = (path: string, body: string, headers: readonly string[] = [authorizationHeader]): string =>
	`POST ${path} HTTP/1.1\r\nhost: h\r\n${headers.map(header => `${header}\r\n`).join('')}content-length: ${body.length}\r\n\r\n${body}`;

const cases: ReadonlyArray<readonly [string, string, number, string]> = [
	['a missing key', formatPost('/v1/completions', '{}', []), 401, 'unauthorized'],
	['an unknown key', formatPost('/v1/completions', '{}', ['authorization: Bearer nobody']), 401, 'unauthorized'],
	['malformed JSON', formatPost('/v1/completions', '{"model":'), 400, 'bad-request'],
	['a wrong type', formatPost('/v1/completions', '{"model":5}'), 400, 'bad-request'],
	['a missing prompt', formatPost('/v1/completions', '{"model":"small"}'), 400, 'bad-request'],
	['an unknown model', formatPost('/v1/completions', '{"model":"nix","prompt":"p"}'), 404, 'unknown-model'],
	['a wrong method', `GET /v1/completions HTTP/1.1\r\nhost: h\r\n${authorizationHeader}\r\n\r\n`, 405, 'method-not-allowed'],
	['an unknown route', formatPost('/v2/completions', '{}'), 404, 'unknown-route'],
	['an unknown service', formatPost('/services/nix/bookings', '{}'), 404, 'unknown-service'],
	['an unknown route of a service', formatPost('/services/booking/nix', '{}'), 404, 'unknown-route'],
	['a wrong method of a service', formatPost('/services/booking/slots', '{}'), 405, 'method-not-allowed'],
	['a commitment without a key', formatPost('/services/booking/bookings', '{}'), 400, 'key-required'],
	['a path with invalid percent-encoding', formatPost('/services/booking/%E0%A4%A', '{}'), 404, 'unknown-route'],
	['an oversized body', formatPost('/v1/completions', 'x'.repeat(300_000)), 413, 'too-large'],
	['oversized headers', formatPost('/v1/completions', '{}', [authorizationHeader, `x-long: ${'y'.repeat(20_000)}`]), 431, 'too-large'],
	['two Content-Length headers', `POST /v1/completions HTTP/1.1\r\nhost: h\r\n${authorizationHeader}\r\ncontent-length: 2\r\ncontent-length: 9\r\n\r\n{}`, 400, 'bad-request'],
	[
		'Content-Length together with chunked encoding',
		`POST /v1/completions HTTP/1.1\r\nhost: h\r\n${authorizationHeader}\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
		400,
		'bad-request',
	],
	['an incomplete body', `POST /v1/completions HTTP/1.1\r\nhost: h\r\n${authorizationHeader}\r\ncontent-length: 20\r\n\r\n{`, 408, 'slow-caller'],
	['bytes that are not HTTP', 'hello there\r\n\r\n', 400, 'bad-request'],
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

	it.each(cases)('is refused with an explicit error and runs nothing: %s', async (_name, text, status, kind) => {
		const response = await sendRaw(fleet.hosts[0]!.callers, text);
		expect(response).toContain(`HTTP/1.1 ${status}`);
		expect(response.toLowerCase()).toContain('x-request-id');
		expect(response).toContain(`"kind":"${kind}"`);
		expect(response).toContain('"ran":"no"');
		expect(await countEngineRuns(fleet.engines)).toBe(0);
		expect((await readStandInCounts(fleet.service)).runs).toEqual({});
	});

	it('does not stop a host when a caller disconnects in mid-body', async () => {
		await sendRaw(fleet.hosts[0]!.callers, `POST /v1/completions HTTP/1.1\r\nhost: h\r\n${authorizationHeader}\r\ncontent-length: 20\r\n\r\n{`, true);
		expect(await countEngineRuns(fleet.engines)).toBe(0);
		expect((await readHostStatus(fleet.hosts[0]!)).state).toBe('alive');
	});

	it('does not stop a host when arbitrary bytes arrive at any of its addresses', async () => {
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
				const response = await request(`http://${address}${path}`, {method: 'POST', body: text, headers: {authorization: `Bearer ${fleetApiKeys.acme}`}});
				await response.body.dump();
				expect(response.statusCode).toBeGreaterThanOrEqual(200);
			},
		), {seed: 81, numRuns: 300});
		await fc.assert(fc.asyncProperty(fc.constantFrom(callers, peers, operators), fc.uint8Array({minLength: 1, maxLength: 200}), async (address, bytes) => {
			await sendRaw(address, bytes, true);
		}), {seed: 82, numRuns: 20});
		const response = await requestCompletion(callers, fleetApiKeys.acme, {prompt: 'still there', max_tokens: 2});
		expect(response.isWhole).toBe(true);
	});
});
