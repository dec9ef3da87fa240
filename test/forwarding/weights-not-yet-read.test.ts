import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createStoreProxy} from '../support/create-store-proxy.js';
import {createWeightedEngine, type WeightedEngine} from '../support/create-weighted-engine.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway} from '../support/start-test-gateway.js';

const startMs = 2500;

let store: ObjectStoreServer;
let engine: WeightedEngine;

beforeEach(async () => {
	[store, engine] = await Promise.all([createObjectStoreServer(), createWeightedEngine()]);
	store.put('config', 'main', platformObjects.configuration(1));
	store.put('servers', 'i-0', platformObjects.upstream(engine.address, {models: [{name: 'm', version: 1, adapters: []}]}));
});

afterEach(() => {
	engine.stop();
	store.stop();
});

/** A host that had not read yet which weights were named was ready, and took old ones for the newest. */
describe('a host that starts while the store does not say which weights are named', () => {
	test.each([['newer ones are named', 2], ['the same ones are named', 1]])('is not ready, and sends no request to engines: %s', async (_name, version) => {
		store.put('versions', 'm', {model: 'm', version});
		const lossy = await createStoreProxy(store.address, path => !path.includes('/versions'));
		const gateway = await startTestGateway(lossy.address);
		await sleep(startMs);
		const {status} = await fetch(`http://${gateway.readiness}/v1/readiness`);
		await sendRawRequest(gateway.callers, buildRawRequest({
			method: 'POST', target: '/ask/x', body: 'prompt', deadlineMs: 1000,
			headers: 'Model: m\r\nToken-Count: 100,4\r\nPrompt-Prefix: aa:50,cc:50\r\n',
		}));
		await gateway.stop();
		lossy.stop();
		expect(engine.runs).toEqual([]);
		expect(status).toBe(503);
	});
});
