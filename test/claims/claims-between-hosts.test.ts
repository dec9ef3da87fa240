import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {findOwner} from '../../src/decide/membership/find-owner.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, sendSignedResponse, type UpstreamServer} from '../support/create-upstream-server.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {waitUntil} from '../support/wait-until.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const rounds = 20;
const names = ['host-1', 'host-2'] as const;

let store: ObjectStoreServer;
let upstreams: readonly UpstreamServer[];
let gateways: TestGateway[];

beforeEach(async () => {
	store = await createObjectStoreServer();
	upstreams = await Promise.all([createUpstreamServer(), createUpstreamServer(), createUpstreamServer(), createUpstreamServer()]);
	gateways = [];
	// The objective is so short that the work of a few prompts between two reports is above a share of it.
	store.put('config', 'main', platformObjects.configuration(1, {routes: [platformObjects.route({name: 'r-prompt', path_prefix: '/ask/', goal_ms: 10})]}));
	store.put('versions', 'm', {model: 'm', version: 1});
	for (const [index, upstream] of upstreams.entries()) {
		upstream.answer = (received, socket) => {
			sendSignedResponse(received, socket);
		};

		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address, {models: [{name: 'm', version: 1, adapters: []}]}));
	}
});

afterEach(async () => {
	await Promise.all(gateways.map(async gateway => gateway.stop()));
	store.stop();
	for (const upstream of upstreams) {
		upstream.stop();
	}
});

/** Starts a host; names are fixed, since they decide which host keeps the ledger of which upstream. */
async function start(claims: boolean): Promise<void> {
	gateways.push(await startTestGateway(store.address, {name: names[gateways.length], placement: {claims}}));
}

/** Sends prompts to all hosts in turn; returns the statuses of the responses. */
async function sendPrompts(): Promise<readonly number[]> {
	const statuses: number[] = [];
	for (let round = 0; round < rounds; round++) {
		for (const {callers} of gateways) {
			const {status} = await sendRawRequest(callers, buildRawRequest({
				method: 'POST', target: '/ask/x', body: 'prompt', headers: 'Model: m\r\nToken-Count: 9000,64\r\nPrompt-Prefix: aa:8000,bb:1000\r\n',
			}));
			statuses.push(status);
		}
	}

	return statuses;
}

async function countClaims({metrics}: TestGateway, outcome: string): Promise<number> {
	const text = await (await fetch(`http://${metrics}/metrics`)).text();
	return Number(new RegExp(String.raw`hemlockpier_claims_total\{outcome="${outcome}"\} (\d+)`, 'v').exec(text)?.[1] ?? 0);
}

/** Guards against claims that get no answer over real sockets, for example since one side does not know a field or an address. */
describe('hosts that claim places', () => {
	test('each keep the ledger of some of the upstreams', () => {
		expect(new Set(upstreams.map((_, index) => findOwner(names, `i-${index}`)))).toEqual(new Set(names));
	});

	test('quote each other, and all requests are answered', async () => {
		await start(true);
		await start(true);
		await waitUntilReady(...gateways);
		await waitUntil('claims that are kept', async () => {
			expect(new Set(await sendPrompts())).toEqual(new Set([200]));
			const kept = await Promise.all(gateways.map(async gateway => countClaims(gateway, 'kept')));
			return kept.every(count => count > rounds);
		});
	}, 60_000);

	/** Claims are used only while all hosts use them: a ledger that misses the requests of some hosts misleads the others. */
	test('claim nothing beside a host without the setting, and all requests are answered', async () => {
		await start(true);
		await start(false);
		await waitUntilReady(...gateways);
		const outcomes = ['kept', 'moved-on', 'no-answer', 'not-asked'] as const;
		const countAll = async (gateway: TestGateway): Promise<readonly number[]> => Promise.all(outcomes.map(async outcome => countClaims(gateway, outcome)));
		const sendAndCompare = async (): Promise<boolean> => {
			const before = await countAll(gateways[0]!);
			expect(new Set(await sendPrompts())).toEqual(new Set([200]));
			return JSON.stringify(await countAll(gateways[0]!)) === JSON.stringify(before);
		};

		await waitUntil('the end of claims, once the other host is heard', sendAndCompare);
		expect(await sendAndCompare()).toBe(true);
		expect(await countAll(gateways[1]!)).toEqual([0, 0, 0, 0]);
	}, 60_000);
});
