import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {callJson} from '../../src/http/call-json.js';
import {createHttpPlatform} from '../../src/platform/create-http-platform.js';
import {publish} from '../../src/publishing/publish.js';
import {parseServiceText} from '../../src/settings/parse-service-text.js';
import {createEngineStandIn} from '../../src/stand-ins/create-engine-stand-in.js';
import {createPlatformStandIn} from '../../src/stand-ins/create-platform-stand-in.js';
import {createServiceStandIn} from '../../src/stand-ins/create-service-stand-in.js';
import {createStoreStandIn} from '../../src/stand-ins/create-store-stand-in.js';
import {type StandIn} from '../../src/stand-ins/stand-in.js';
import {computeSha256} from '../../src/util/compute-sha256.js';
import {startProcess, type TestProcess} from './start-process.js';
import {findTestPorts} from './find-test-ports.js';
import {waitUntil} from './wait-until.js';

const timeoutMs = 5000;

/** A host process of a fleet under test. */
export type FleetHost = {
	readonly name: string;
	readonly domain: string;
	readonly callers: string;
	readonly peers: string;
	readonly operators: string;
	readonly settingsFile: string;
	process: TestProcess;
};

/** Host processes and the stand-ins for their dependencies. */
export type Fleet = {
	readonly platform: StandIn;
	readonly engines: readonly StandIn[];
	readonly store: StandIn;
	readonly service: StandIn;
	readonly hosts: readonly FleetHost[];
	readonly folder: string;
	/** Publishes the services with the given changes and returns the revision. */
	readonly publish: (change?: ServiceOverrides) => Promise<number>;
	readonly startHost: (host: FleetHost) => void;
	readonly ready: (hosts?: readonly FleetHost[]) => Promise<void>;
	readonly stop: () => Promise<void>;
};

/** Changes to the published services. */
export type ServiceOverrides = {
	readonly version?: string;
	readonly deadlineMs?: number;
	readonly leaving?: readonly string[];
	readonly checksKeys?: boolean;
};

/** Options of a fleet. */
export type FleetOptions = {
	readonly domains?: readonly string[];
	readonly hostsPerDomain?: number;
	readonly engines?: number;
	readonly engineOptions?: Parameters<typeof createEngineStandIn>[1];
	readonly services?: ServiceOverrides;
	readonly drainMs?: number;
	readonly hostSettings?: Readonly<Record<string, unknown>>;
	/** Provides the stand-ins, which otherwise run in this process. */
	readonly provideStandIn?: (kind: 'platform' | 'engine' | 'store' | 'service') => Promise<StandIn>;
};

/** API keys of the fleet's two workspaces. */
export const fleetApiKeys = {acme: 'acme-key', brook: 'brook-key'} as const;

function createServiceTexts(domains: readonly string[], urls: {readonly engines: readonly string[]; readonly store: string; readonly service: string}, changes: ServiceOverrides): readonly string[] {
	const workspaces = Object.entries(fleetApiKeys).map(([name, key]) => ({name, keys: [computeSha256(key)]}));
	const limits = {deadlineMs: changes.deadlineMs ?? 15_000};
	return [
		JSON.stringify({
			service: 'assistant', kind: 'model', pool: 'assistant', workspaces, limits,
			models: [{name: 'small', version: changes.version ?? 'v1'}],
			pieceCharacters: 256,
			pieceBytes: 1000,
			upstreams: urls.engines.map((url, index) => ({
				name: `engine-${index + 1}`, domain: domains[index % domains.length], url, slots: 4,
				leaving: changes.leaving?.includes(`engine-${index + 1}`) ?? false,
			})),
			stores: [{
				name: 'store-1', domain: domains[0], url: urls.store, linkBytesPerS: 1e9,
			}],
		}),
		JSON.stringify({
			service: 'booking', kind: 'plain', workspaces, limits,
			upstreams: [{
				name: 'booking-1', domain: domains[0], url: urls.service, checksKeys: changes.checksKeys ?? false,
			}],
			routes: [{path: '/slots', method: 'GET', repeatable: true}, {path: '/bookings', method: 'POST', repeatable: false}],
		}),
	];
}

/** Starts stand-ins for all dependencies and the hosts as separate processes, and waits until the hosts are ready. */
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
	const {domains = ['west-1', 'west-2'], hostsPerDomain = 2, drainMs = 500} = options;
	const platform = await (options.provideStandIn?.('platform') ?? createPlatformStandIn());
	const engines = await Promise.all(Array.from({length: options.engines ?? 2}, async () =>
		options.provideStandIn?.('engine') ?? createEngineStandIn('127.0.0.1:0', {slots: 4, ...options.engineOptions})));
	const store = await (options.provideStandIn?.('store') ?? createStoreStandIn());
	const service = await (options.provideStandIn?.('service') ?? createServiceStandIn());
	const folder = mkdtempSync(path.join(tmpdir(), 'hemlockpier-'));
	const urls = {engines: engines.map(engine => engine.url), store: store.url, service: service.url};

	const publishServices = async (changes: ServiceOverrides = {}): Promise<number> => {
		const texts = createServiceTexts(domains, urls, {...options.services, ...changes});
		const files = texts.map(text => ({file: 'test', text, service: parseServiceText('test', text)}));
		return publish(createHttpPlatform(platform.url), files, 'test');
	};

	await publishServices();
	const names = domains.flatMap(domain => Array.from({length: hostsPerDomain}, (_, index) => ({name: `${domain}-${'abcdefgh'[index]}`, domain})));
	const ports = await findTestPorts(names.length * 3);
	const hostAddresses = names.map(({name, domain}, index) => ({
		name,
		domain,
		callers: `127.0.0.1:${ports[index * 3]}`,
		peers: `127.0.0.1:${ports[(index * 3) + 1]}`,
		operators: `127.0.0.1:${ports[(index * 3) + 2]}`,
		settingsFile: path.join(folder, `${name}.jsonc`),
	}));
	const seeds = hostAddresses.map(place => place.peers);
	for (const {settingsFile, ...place} of hostAddresses) {
		writeFileSync(settingsFile, JSON.stringify({
			...place, region: 'west', platform: platform.url, drainMs, seeds, ...options.hostSettings,
		}));
	}

	const startHostProcess = (settingsFile: string): TestProcess => startProcess(['serve', '--settings', settingsFile, '--allow-faults']);
	const hosts: FleetHost[] = hostAddresses.map(place => ({...place, process: startHostProcess(place.settingsFile)}));

	const ready = async (awaitedHosts: readonly FleetHost[] = hosts): Promise<void> => {
		for (const host of awaitedHosts) {
			await waitUntil(`${host.name} to be ready; last output lines: ${host.process.lines.slice(-3).join(' | ')}`, async () => {
				const {body} = await callJson(`http://${host.operators}/status`, {timeoutMs});
				const aliveMembers = (body.members as ReadonlyArray<{readonly state: string}>).filter(member => member.state === 'alive');
				const isReady = await callJson(`http://${host.operators}/readyz`, {timeoutMs});
				return isReady.status === 200 && aliveMembers.length >= awaitedHosts.length;
			});
		}
	};

	await ready();
	return {
		platform, engines, store, service, hosts, folder, ready,
		publish: publishServices,
		startHost(host) {
			host.process = startHostProcess(host.settingsFile);
		},
		async stop() {
			for (const host of hosts) {
				host.process.child.kill('SIGCONT');
				host.process.child.kill('SIGKILL');
			}

			await Promise.all([platform, ...engines, store, service].map(async standIn => standIn.stop()));
		},
	};
}
