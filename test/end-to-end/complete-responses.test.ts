import {
	afterAll, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {sleep} from '../../src/util/sleep.js';
import {type EngineFaults} from '../../src/stand-ins/engine-faults.js';
import {requestCompletion, expectedCompletionText} from '../support/request-completion.js';
import {setStandInFaults, readStandInCounts, readHostStatus} from '../support/fleet-control.js';
import {fleetApiKeys, startFleet, type Fleet} from '../support/start-fleet.js';
import {waitUntil} from '../support/wait-until.js';

const healthy: Partial<EngineFaults> = {
	down: false, cutAfter: -1, endAfter: -1, stallAfter: -1, duplicate: false, crossed: false,
};
const tokens = 20;
const detectionMs = 1500;
describe('streams from failing upstreams', () => {
	let fleet: Fleet;

	beforeAll(async () => {
		fleet = await startFleet({engines: 3});
	});

	beforeEach(async () => {
		await Promise.all(fleet.engines.map(async engine => setStandInFaults(engine, healthy)));
	});

	afterAll(async () => {
		await fleet.stop();
	});

	const faults: ReadonlyArray<readonly [string, Partial<EngineFaults>]> = [
		['resets its streams', {cutAfter: 7}],
		['ends its streams early', {endAfter: 7}],
		['stalls its streams', {stallAfter: 7}],
		['sends every token twice', {duplicate: true}],
		['sends the stream of another attempt', {crossed: true}],
		['is down', {down: true}],
	];

	it.each(faults)('are complete when one engine %s', async (_name, fault) => {
		await setStandInFaults(fleet.engines[0]!, fault);
		const prompts = Array.from({length: 24}, (_, index) => `${JSON.stringify(fault)} prompt ${index}`);
		const responses = await Promise.all(prompts.map(async (prompt, index) =>
			requestCompletion(fleet.hosts[index % fleet.hosts.length]!.callers, index % 2 === 0 ? fleetApiKeys.acme : fleetApiKeys.brook, {prompt, max_tokens: tokens})));
		for (const [index, response] of responses.entries()) {
			const isRight = response.isWhole ? response.text === expectedCompletionText(prompts[index]!, tokens) : response.error !== undefined;
			expect(isRight, JSON.stringify(response)).toBe(true);
			expect(expectedCompletionText(prompts[index]!, tokens).startsWith(response.text)).toBe(true);
		}

		// Once the engine's owner has detected the failure, requests go to the other engines.
		await sleep(detectionMs);
		for (let index = 0; index < 12; index++) {
			const prompt = `${JSON.stringify(fault)} later ${index}`;
			const response = await requestCompletion(fleet.hosts[index % fleet.hosts.length]!.callers, fleetApiKeys.acme, {prompt, max_tokens: 10});
			expect(response, JSON.stringify(response)).toMatchObject({isWhole: true, text: expectedCompletionText(prompt, 10)});
		}
	});

	it('end with an explicit error, without [DONE], when every engine resets its streams', async () => {
		await Promise.all(fleet.engines.map(async engine => setStandInFaults(engine, {cutAfter: 5})));
		const response = await requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.acme, {prompt: 'doomed', max_tokens: tokens});
		expect(response).toMatchObject({status: 200, isWhole: false, error: {kind: expect.any(String), ran: 'yes'}});
		expect(response.text).toBe(expectedCompletionText('doomed', 5));
	});

	it('are complete when the host that owns the engine is killed in mid-stream', async () => {
		const [receiving] = fleet.hosts;
		const owners = fleet.hosts.slice(1);
		const prompts = Array.from({length: 6}, (_, index) => `long stream ${index}`);
		const responses = prompts.map(async prompt => requestCompletion(receiving!.callers, fleetApiKeys.acme, {prompt, max_tokens: 150}));
		await sleep(300);
		for (const owner of owners) {
			owner.process.child.kill('SIGKILL');
		}

		for (const [index, response] of (await Promise.all(responses)).entries()) {
			expect(response).toMatchObject({isWhole: true, text: expectedCompletionText(prompts[index]!, 150)});
		}

		for (const owner of owners) {
			fleet.startHost(owner);
		}

		await fleet.ready();
	});

	it('stop at the engine when the caller disconnects', async () => {
		const disconnect = new AbortController();
		const response = await request(`http://${fleet.hosts[0]!.callers}/v1/completions`, {
			method: 'POST',
			headers: {authorization: `Bearer ${fleetApiKeys.acme}`},
			body: JSON.stringify({
				model: 'small', prompt: 'leaving caller', max_tokens: 4000, stream: true,
			}),
			signal: disconnect.signal,
		});
		response.body.once('data', () => {
			disconnect.abort();
		});
		response.body.on('error', () => undefined);
		await waitUntil('the engines to be idle', async () => {
			const counts = await Promise.all(fleet.engines.map(async engine => readStandInCounts(engine)));
			const states = await Promise.all(fleet.hosts.map(async host => readHostStatus(host)));
			return disconnect.signal.aborted && counts.every(count => count.busy === 0) && states.every(status => status.underWay === 0);
		});
	});
});

describe('responses of plain services', () => {
	it.each([
		['truncated', {truncate: true}],
		['lost', {loseAnswers: true}],
		['later than the deadline', {runMs: 3000}],
	])('become an explicit error when the response is %s', async (_name, fault) => {
		const fleet = await startFleet({
			domains: ['west-1'], hostsPerDomain: 1, engines: 1, services: {deadlineMs: 1500},
		});
		await setStandInFaults(fleet.service, fault);
		const response = await request(`http://${fleet.hosts[0]!.callers}/services/booking/slots`, {headers: {authorization: `Bearer ${fleetApiKeys.acme}`}});
		const body = await response.body.json();
		expect(response.statusCode).toBe(502);
		expect(body).toMatchObject({error: {kind: 'upstream-failed', ran: 'unknown'}});
		await fleet.stop();
	});
});
