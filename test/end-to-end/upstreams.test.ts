import {
	afterEach, describe, expect, it,
} from 'vitest';
import {callJson} from '../../src/http/call-json.js';
import {sleep} from '../../src/util/sleep.js';
import {requestCompletion, expectedCompletionText} from '../support/request-completion.js';
import {
	setStandInFaults, countEngineRuns, readStandInCounts, readHostStatus, setHostFaults,
} from '../support/fleet-control.js';
import {fleetApiKeys, startFleet, type Fleet} from '../support/start-fleet.js';
import {waitUntil} from '../support/wait-until.js';

const leaveBoundMs = 5000;

/** Sends requests through every host until `isOver` returns true. */
async function sendUntilOver(fleet: Fleet, isOver: () => boolean): Promise<void> {
	const sendRepeatedly = async (caller: number): Promise<void> => {
		for (let index = 0; !isOver(); index++) {
			await requestCompletion(fleet.hosts[caller % fleet.hosts.length]!.callers, fleetApiKeys.acme, {prompt: `load ${caller} ${index}`, max_tokens: 5});
		}
	};

	await Promise.all(Array.from({length: 8}, async (_, caller) => sendRepeatedly(caller)));
}

describe('a leaving upstream', () => {
	let fleet: Fleet;

	afterEach(async () => {
		await fleet.stop();
	});

	const marks: ReadonlyArray<readonly [string, (fleet: Fleet) => Promise<void>]> = [
		['by its own report', async current => setStandInFaults(current.engines[0]!, {leaving: true})],
		['by its own report while the platform is out of reach', async current => {
			await setStandInFaults(current.platform, {down: true});
			await setStandInFaults(current.engines[0]!, {leaving: true});
		}],
		['by an operator, at a host of another domain, while the platform is out of reach', async current => {
			await setStandInFaults(current.platform, {down: true});
			await callJson(`http://${current.hosts[3]!.operators}/mark`, {body: {upstream: 'engine-1', leaving: true}, timeoutMs: 2000});
		}],
		['by its service file', async current => {
			await current.publish({leaving: ['engine-1']});
		}],
	];

	it.each(marks)('gets no new work five seconds after its mark %s', async (_name, markLeaving) => {
		fleet = await startFleet({engines: 2});
		let isOver = false;
		const loading = sendUntilOver(fleet, () => isOver);
		await sleep(500);
		await markLeaving(fleet);
		await sleep(leaveBoundMs);
		const before = await countEngineRuns([fleet.engines[0]!]);
		const otherRunsBefore = await countEngineRuns([fleet.engines[1]!]);
		await sleep(1500);
		expect(await countEngineRuns([fleet.engines[0]!])).toBe(before);
		expect(await countEngineRuns([fleet.engines[1]!])).toBeGreaterThan(otherRunsBefore);
		isOver = true;
		await loading;
	});

	it('that flaps gets no new work', async () => {
		fleet = await startFleet({engines: 2});
		let isOver = false;
		const loading = sendUntilOver(fleet, () => isOver);
		for (let round = 0; round < 3; round++) {
			await setStandInFaults(fleet.engines[0]!, {leaving: true});
			await sleep(1500);
			await setStandInFaults(fleet.engines[0]!, {leaving: false});
			await sleep(1500);
		}

		const before = await countEngineRuns([fleet.engines[0]!]);
		await sleep(1500);
		expect(await countEngineRuns([fleet.engines[0]!])).toBe(before);
		isOver = true;
		await loading;
	});
});

describe('an update of the weights under load', () => {
	let fleet: Fleet;

	afterEach(async () => {
		await fleet.stop();
	});

	it('generates each response with one version, completes running streams with theirs, and reuses no KV cache across versions', async () => {
		fleet = await startFleet({engines: 3, engineOptions: {loadMs: 800}});
		const prompt = 'manual '.repeat(300);
		await requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.acme, {prompt, max_tokens: 3});
		const running = requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.acme, {prompt: 'long run', max_tokens: 400});
		await sleep(200);
		await fleet.publish({version: 'v2'});
		const servedVersions = new Set<string>();
		await waitUntil('the new version to be served', async () => {
			const response = await requestCompletion(fleet.hosts[1]!.callers, fleetApiKeys.acme, {prompt, max_tokens: 3});
			const version = ['v1', 'v2'].find(candidate => response.text === expectedCompletionText(prompt, 3, candidate));
			expect(version, JSON.stringify(response)).toBeDefined();
			if (version === 'v2' && !servedVersions.has('v2')) {
				expect(response.cachedTokens).toBe(0);
			}

			servedVersions.add(version!);
			return version === 'v2';
		});
		expect(await running).toMatchObject({isWhole: true, text: expectedCompletionText('long run', 400)});
		await waitUntil('all engines to unload the old version', async () => {
			const reports = await Promise.all(fleet.engines.map(async engine => callJson(`${engine.url}/load`, {timeoutMs: 2000})));
			return reports.every(({body}) => JSON.stringify(body.loaded) === '["small@v2"]');
		});
		const response = await requestCompletion(fleet.hosts[2]!.callers, fleetApiKeys.acme, {prompt, max_tokens: 3});
		expect(response.text).toBe(expectedCompletionText(prompt, 3, 'v2'));
	});
});

describe('a stream that breaks after a weight update', () => {
	let fleet: Fleet;

	afterEach(async () => {
		await fleet.stop();
	});

	it('is not continued with another version', async () => {
		fleet = await startFleet({engines: 2, engineOptions: {loadMs: 100}});
		const running = [0, 1, 2, 3].map(async index =>
			requestCompletion(fleet.hosts[index]!.callers, fleetApiKeys.acme, {prompt: `broken by a swap ${index}`, max_tokens: 800}));
		await sleep(300);
		await fleet.publish({version: 'v2'});
		await waitUntil('all engines to unload the old version', async () => {
			const reports = await Promise.all(fleet.engines.map(async engine => callJson(`${engine.url}/load`, {timeoutMs: 2000})));
			return reports.every(({body}) => JSON.stringify(body.loaded) === '["small@v2"]');
		});
		await sleep(1500);
		await Promise.all(fleet.engines.map(async engine => setStandInFaults(engine, {cutNow: true})));
		for (const [index, response] of (await Promise.all(running)).entries()) {
			expect(response).toMatchObject({isWhole: false, error: {ran: 'yes'}});
			expect(expectedCompletionText(`broken by a swap ${index}`, 800).startsWith(response.text)).toBe(true);
		}
	});
});

describe('workspaces', () => {
	let fleet: Fleet;

	afterEach(async () => {
		await fleet.stop();
	});

	it('never share KV cache, even for the same prompt with the same cache key', async () => {
		fleet = await startFleet({engines: 1});
		const body = {prompt: 'the same route file '.repeat(100), max_tokens: 3, prompt_cache_key: 'shared-hint'};
		await requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.acme, body);
		await sleep(500);
		const other = await requestCompletion(fleet.hosts[1]!.callers, fleetApiKeys.brook, body);
		expect(other.cachedTokens).toBe(0);
		const again = await requestCompletion(fleet.hosts[2]!.callers, fleetApiKeys.acme, body);
		expect(again.cachedTokens).toBeGreaterThan(400);
	});

	it('and their content does not appear in status, explanations, logs or errors', async () => {
		fleet = await startFleet({engines: 1});
		const secret = 'vault-4711-secret';
		const response = await requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.acme, {prompt: secret, max_tokens: 3});
		const refused = await requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.brook, {prompt: secret, model: 'nix'});
		const explained = await callJson(`http://${fleet.hosts[1]!.operators}/explain/${response.requestId}`, {timeoutMs: 2000});
		const shown = [
			JSON.stringify(refused),
			JSON.stringify(explained.body),
			JSON.stringify(await readHostStatus(fleet.hosts[0]!)),
			...fleet.hosts.flatMap(host => host.process.lines),
		].join('\n');
		expect(shown).not.toContain(secret);
		expect(shown).not.toContain(fleetApiKeys.acme);
	});
});

describe('a request that crashes its upstreams', () => {
	let fleet: Fleet;

	afterEach(async () => {
		await fleet.stop();
	});

	it('crashes at most two of them however often it is sent, and other requests are served', async () => {
		fleet = await startFleet({engines: 4, engineOptions: {faults: {crashMark: 'CRASH', restartMs: 1000}}});
		let isOver = false;
		const condemnedPrompts: string[] = [];
		const innocentTraffic = (async () => {
			const sendRepeatedly = async (caller: number): Promise<void> => {
				for (let index = 0; !isOver; index++) {
					const prompt = `innocent ${caller} ${index}`;
					const response = await requestCompletion(fleet.hosts[caller % 4]!.callers, fleetApiKeys.brook, {prompt, max_tokens: 10});
					if (response.error?.kind === 'condemned') {
						condemnedPrompts.push(prompt);
					}
				}
			};

			await Promise.all(Array.from({length: 6}, async (_, caller) => sendRepeatedly(caller)));
		})();
		await sleep(500);
		const errorKinds = new Set<string>();
		for (let sent = 0; sent < 40; sent++) {
			const response = await requestCompletion(fleet.hosts[sent % 4]!.callers, fleetApiKeys.acme, {prompt: 'CRASH this', max_tokens: 5});
			errorKinds.add(response.error?.kind ?? 'none');
			await sleep(50);
		}

		isOver = true;
		await innocentTraffic;
		const counts = await Promise.all(fleet.engines.map(async engine => readStandInCounts(engine)));
		const crashes = counts.map(count => Number(count.crashes)).reduce((total, count) => total + count, 0);
		// One crash beside other requests and one in isolation.
		expect(crashes).toBeLessThanOrEqual(2);
		expect(errorKinds).toContain('condemned');
		expect(condemnedPrompts).toEqual([]);
		const after = await requestCompletion(fleet.hosts[0]!.callers, fleetApiKeys.brook, {prompt: 'innocent 0 0', max_tokens: 10});
		expect(after.isWhole).toBe(true);
	});
});

describe('failures between hosts', () => {
	let fleet: Fleet;

	afterEach(async () => {
		await fleet.stop();
	});

	it('a paused owner of an engine delays no request beyond its deadline', async () => {
		fleet = await startFleet({engines: 4, hostsPerDomain: 3});
		fleet.hosts[1]!.process.child.kill('SIGSTOP');
		const responses = await Promise.all(Array.from({length: 30}, async (_, index) => {
			const host = [0, 2, 3, 4, 5][index % 5]!;
			return requestCompletion(fleet.hosts[host]!.callers, fleetApiKeys.acme, {prompt: `frozen ${index}`, max_tokens: 5});
		}));
		expect(responses.filter(response => !response.isWhole)).toEqual([]);
		fleet.hosts[1]!.process.child.kill('SIGCONT');
		await waitUntil('the paused host to rejoin', async () => {
			const status = await readHostStatus(fleet.hosts[0]!);
			return status.members.find((member: any) => member.name === fleet.hosts[1]!.name).state === 'alive';
		});
	});

	it('both sides of a partition inside a failure domain keep serving, and merge afterwards', async () => {
		fleet = await startFleet({engines: 2, hostsPerDomain: 2});
		const [isolated, ...rest] = fleet.hosts;
		await setHostFaults(isolated!, {cutPeers: rest.map(host => host.peers)});
		await Promise.all(rest.map(async host => setHostFaults(host, {cutPeers: [isolated!.peers]})));
		await sleep(6000);
		const responses = await Promise.all(fleet.hosts.map(async (host, index) =>
			requestCompletion(host.callers, fleetApiKeys.acme, {prompt: `split ${index}`, max_tokens: 5})));
		expect(responses.filter(response => !response.isWhole)).toEqual([]);
		await Promise.all(fleet.hosts.map(async host => setHostFaults(host, {cutPeers: []})));
		await fleet.ready();
	});

	it('an outage of the platform does not affect reads, and its recovery causes no thundering herd', async () => {
		fleet = await startFleet({engines: 2});
		await setStandInFaults(fleet.platform, {down: true});
		await sleep(4000);
		const responses = await Promise.all(Array.from({length: 20}, async (_, index) =>
			requestCompletion(fleet.hosts[index % 4]!.callers, fleetApiKeys.acme, {prompt: `outage ${index}`, max_tokens: 5})));
		expect(responses.filter(response => !response.isWhole)).toEqual([]);
		await setStandInFaults(fleet.platform, {down: false});
		const restoredAtS = Math.floor(Date.now() / 1000);
		await sleep(3000);
		const {body} = await callJson(`${fleet.platform.url}/calls`, {timeoutMs: 2000});
		const perSecond = [restoredAtS, restoredAtS + 1, restoredAtS + 2].map(second => Number(body.bySecond[second] ?? 0));
		// Watches, leases and seed look-ups are spread out: at most a few calls per second and host.
		expect(Math.max(...perSecond)).toBeLessThanOrEqual(5 * fleet.hosts.length);
	});
});
