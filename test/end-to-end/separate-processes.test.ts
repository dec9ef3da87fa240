import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {callJson} from '../../src/http/call-json.js';
import {sendBooking} from '../support/send-booking.js';
import {requestCompletion, expectedCompletionText} from '../support/request-completion.js';
import {fleetApiKeys, startFleet, type Fleet} from '../support/start-fleet.js';
import {startProcess, type TestProcess} from '../support/start-process.js';
import {waitUntil} from '../support/wait-until.js';

const timeoutMs = 5000;

describe('requests through separate processes', () => {
	const standIns: TestProcess[] = [];
	let fleet: Fleet;

	beforeAll(async () => {
		fleet = await startFleet({
			async provideStandIn(kind) {
				const started = startProcess(['stand-in', kind, '--json']);
				standIns.push(started);
				const {url} = JSON.parse(await started.waitForLine(line => line.startsWith('{'))) as {readonly url: string};
				return {
					url,
					async stop() {
						started.child.kill('SIGTERM');
					},
				};
			},
		});
	});

	afterAll(async () => {
		await fleet.stop();
	});

	it('stream complete responses through every host', async () => {
		const prompts = Array.from({length: 24}, (_, index) => `Route file ${index}: ${'segment '.repeat(index * 10)}`);
		const responses = await Promise.all(prompts.map(async (prompt, index) =>
			requestCompletion(fleet.hosts[index % fleet.hosts.length]!.callers, fleetApiKeys.acme, {prompt, max_tokens: 12})));
		for (const [index, response] of responses.entries()) {
			expect(response).toMatchObject({
				status: 200, isWhole: true, error: undefined, text: expectedCompletionText(prompts[index]!, 12),
			});
		}
	});

	it('get a response to a chat that is not streamed', async () => {
		const {status, body} = await callJson(`http://${fleet.hosts[1]!.callers}/v1/chat/completions`, {
			body: {model: 'small', max_tokens: 5, messages: [{role: 'user', content: 'Is segment 7 free?'}]},
			headers: {authorization: `Bearer ${fleetApiKeys.acme}`},
			timeoutMs,
		});
		expect(status).toBe(200);
		expect(body.choices[0].message.content).toBe(expectedCompletionText('user: Is segment 7 free?', 5));
	});

	it('reuse the KV cache of a repeated prompt through another host', async () => {
		const prompt = 'permit history '.repeat(200);
		const first = await requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.acme, {prompt, max_tokens: 4});
		expect(first.cachedTokens).toBe(0);
		await waitUntil('the KV cache to be reused', async () => {
			const again = await requestCompletion(fleet.hosts[3]!.callers, fleetApiKeys.acme, {prompt, max_tokens: 4});
			return again.cachedTokens > 700;
		});
	});

	it('run a commitment once and replay its response through another host', async () => {
		const first = await sendBooking(fleet.hosts[0]!.callers, fleetApiKeys.acme, 'path-1');
		const again = await sendBooking(fleet.hosts[3]!.callers, fleetApiKeys.acme, 'path-1');
		expect(first).toMatchObject({status: 200, isReplay: false});
		expect(again).toMatchObject({status: 200, isReplay: true, body: first.body});
		const {body} = await callJson(`${fleet.service.url}/counts`, {timeoutMs});
		expect(body.runs['path-1']).toBe(1);
	});

	it('are explained by any host', async () => {
		const response = await requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.acme, {prompt: 'Explain me', max_tokens: 2}, {'x-request-id': 'explained-1'});
		expect(response.requestId).toBe('explained-1');
		const {body} = await callJson(`http://${fleet.hosts[2]!.operators}/explain/explained-1`, {timeoutMs});
		expect(body.decisions.map((decision: any) => decision.what)).toEqual(['route', 'grant', 'done']);
		expect(JSON.stringify(body)).not.toContain('Explain me');
	});

	it('are counted in the metrics', async () => {
		const response = await request(`http://${fleet.hosts[0]!.operators}/metrics`);
		const text = await response.body.text();
		for (const name of ['first_token_seconds', 'prompt_tokens_total', 'link_bytes_total', 'queueing_seconds', 'refusals_total', 'platform_calls_total']) {
			expect(text).toContain(`hemlockpier_${name}`);
		}
	});
});
