import {
	afterEach, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {sleep} from '../../src/util/sleep.js';
import {sendBooking} from '../support/send-booking.js';
import {requestCompletion} from '../support/request-completion.js';
import {
	setStandInFaults, countEngineRuns, readStandInCounts, setHostFaults,
} from '../support/fleet-control.js';
import {fleetApiKeys, startFleet, type Fleet} from '../support/start-fleet.js';

describe('a refusal with ran "no" means that the request did not run', () => {
	let fleet: Fleet;

	afterEach(async () => {
		await fleet.stop();
	});

	it('when the queue is full, the deadline is too close or no engine is available', async () => {
		fleet = await startFleet({engines: 1, services: {deadlineMs: 1200}, engineOptions: {slots: 4, stepMs: 40}});
		const prompts = Array.from({length: 40}, (_, index) => `burst ${index}`);
		const responses = await Promise.all(prompts.map(async (prompt, index) =>
			requestCompletion(fleet.hosts[index % 4]!.callers, fleetApiKeys.acme, {prompt, max_tokens: 20})));
		const refused = responses.filter(response => response.status !== 200);
		expect(refused.length).toBeGreaterThan(0);
		for (const response of refused) {
			expect(['deadline', 'overloaded', 'no-upstream']).toContain(response.error!.kind);
			expect(response.error!.ran).toBe('no');
			expect(response.error!.retryAfterMs).toBeGreaterThan(0);
		}

		expect(await countEngineRuns(fleet.engines)).toBe(responses.length - refused.length);
	});

	it('when every engine is leaving', async () => {
		fleet = await startFleet({engines: 2, services: {leaving: ['engine-1', 'engine-2']}});
		const response = await requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.acme, {prompt: 'p', max_tokens: 2});
		expect(response).toMatchObject({status: 503, error: {kind: 'no-upstream', ran: 'no'}});
		expect(await countEngineRuns(fleet.engines)).toBe(0);
	});

	it('when every engine is down', async () => {
		fleet = await startFleet({engines: 2});
		await Promise.all(fleet.engines.map(async engine => engine.stop()));
		const response = await requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.acme, {prompt: 'p', max_tokens: 2});
		expect(response).toMatchObject({status: 503, error: {kind: 'no-upstream', ran: 'no'}});
	});

	it('when the host has no configuration yet', async () => {
		fleet = await startFleet({hostsPerDomain: 1});
		await setStandInFaults(fleet.platform, {down: true});
		const [first, second] = fleet.hosts;
		first!.process.child.kill('SIGKILL');
		second!.process.child.kill('SIGKILL');
		await second!.process.waitForExit();
		fleet.startHost(second!);
		await second!.process.waitForLine(line => line.includes('host started'));
		const response = await requestCompletion(second!.callers, fleetApiKeys.acme, {prompt: 'p', max_tokens: 2});
		expect(response).toMatchObject({status: 503, error: {kind: 'not-ready', ran: 'no'}});
		expect(await countEngineRuns(fleet.engines)).toBe(0);
	});

	it.each([
		['no upstream of a plain service is reachable', async (current: Fleet) => current.service.stop(), 'no-upstream'],
		['the platform is down', async (current: Fleet) => setStandInFaults(current.platform, {down: true}), 'platform-unavailable'],
		['the host is partitioned from the platform and from its peers', async (current: Fleet) => {
			await setHostFaults(current.hosts[0]!, {cutPlatform: true, cutPeers: 'all'});
		}, 'platform-unavailable'],
	])('for a commitment when %s', async (_name, applyFault, kind) => {
		fleet = await startFleet({hostsPerDomain: 1});
		await applyFault(fleet);
		const response = await sendBooking(fleet.hosts[0]!.callers, fleetApiKeys.acme, 'refused');
		expect(response).toMatchObject({status: 503, body: {error: {kind, ran: 'no'}}});
		if (kind === 'platform-unavailable') {
			expect((await readStandInCounts(fleet.service)).runs).toEqual({});
		}
	});

	it('and is sent as soon as it is decided, not near the deadline', async () => {
		fleet = await startFleet({hostsPerDomain: 1, services: {deadlineMs: 30_000, leaving: ['engine-1', 'engine-2']}});
		const timeout = sleep(10_000).then(() => 'late');
		const first = await Promise.race([timeout, requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.acme, {prompt: 'p'})]);
		expect(first).toMatchObject({status: 503});
	});

	it('and requests to upstreams are limited to 1.1 times the requests of callers when all upstreams fail', async () => {
		fleet = await startFleet({hostsPerDomain: 1});
		await setStandInFaults(fleet.service, {loseAnswers: true});
		const calls = 300;
		for (let sent = 0; sent < calls; sent += 20) {
			await Promise.all(Array.from({length: 20}, async (_, index) => {
				const {callers} = fleet.hosts[index % 2]!;
				const response = await request(`http://${callers}/services/booking/slots`, {headers: {authorization: `Bearer ${fleetApiKeys.acme}`}});
				await response.body.dump();
				expect(response.statusCode).toBe(502);
			}));
		}

		const {reads} = await readStandInCounts(fleet.service);
		expect(reads).toBeGreaterThanOrEqual(calls);
		expect(reads).toBeLessThanOrEqual(calls * 1.1);
	});

	it('and requests to engines are limited to 1.1 times the requests of callers when all engines break their streams', async () => {
		fleet = await startFleet({hostsPerDomain: 1, engines: 4});
		await Promise.all(fleet.engines.map(async engine => setStandInFaults(engine, {cutAfter: 1})));
		const calls = 200;
		for (let sent = 0; sent < calls; sent += 10) {
			await Promise.all(Array.from({length: 10}, async (_, index) =>
				requestCompletion(fleet.hosts[index % 2]!.callers, fleetApiKeys.acme, {prompt: `cut ${sent + index}`, max_tokens: 3})));
		}

		expect(await countEngineRuns(fleet.engines)).toBeLessThanOrEqual(calls * 1.1);
	});
});
