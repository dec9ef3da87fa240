// Guards the set-up of the tests of links: a host that has heard no other host can hand nothing on.
import {expect, test} from 'vitest';
import {adapter} from '../../platform/adapter.js';
import {type GatewayAdapter} from '../../src/forwarding/gateway-adapter.js';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startLinkedSystem} from '../support/start-linked-system.js';

/** A call of the store that ends without a response takes so long. */
const callTimeoutMs = 1500;
/** Time from the cut to the first request. */
const settleMs = 600;
/** Time of a request; it only prevents hanging and is no bound under test. */
const deadlineMs = 20_000;

/** Returns the store as it is, except that the first registration of each host ends without a response. */
const openStore: GatewayAdapter['openStore'] = (...args) => {
	const store = adapter.openStore(...args);
	let isFirst = true;
	return {
		...store,
		async create(kind, ...rest) {
			if (kind === adapter.kinds.hosts && isFirst) {
				isFirst = false;
				await sleep(callTimeoutMs);
				throw new Error('no response');
			}

			return store.create(kind, ...rest);
		},
	};
};

test('hosts whose first registration fails know each other once the system has started', async () => {
	const system = await startLinkedSystem({
		domains: ['domain-a', 'domain-a', 'domain-b'], changed: {openStore},
		configuration: {routes: platformObjects.configuration(1).routes.map(route => ({...route, timeout_ms: deadlineMs}))},
	});
	await system.hosts[0]!.cut('reset');
	await sleep(settleMs);
	const responses = await Promise.all(Array.from({length: 8}, async () => sendRawRequest(system.hosts[0]!.gateway.callers, buildRawRequest({deadlineMs}))));
	await system.stop();
	expect(responses.map(({status, body}) => `${status} ${body}`)).toEqual(responses.map(() => '200 whole answer'));
});
