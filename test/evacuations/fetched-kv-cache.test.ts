// Guards against engines that fetch KV cache from an engine of a failure domain out of service, or that no longer fetch it from the stores there.
import {describe, expect, test} from 'vitest';
import {createKvSharing} from '../../src/decide/kv-cache/create-kv-sharing.js';
import {createKvReusePlanner} from '../../src/forwarding/create-kv-reuse-planner.js';
import {type KvStore} from '../../src/forwarding/kv-store.js';
import {type Upstream} from '../../src/forwarding/upstream.js';
import {createTestRegistry, testUpstream} from '../support/create-test-registry.js';

const domain = 'domain-b';
const nowMs = 100_000;
const weights = new Map([['m', 1]]);
const kept: Upstream = {
	...testUpstream, id: 'i-kept', address: '127.0.0.1:1', weights,
};
const evacuated: Upstream = {
	...testUpstream, id: 'i-evacuated', address: '127.0.0.1:2', domain, weights,
};
const kvStore: KvStore = {
	name: 'kept', canSave: () => false,
	store: {
		address: '127.0.0.1:3', domain, capacityTokens: 1e6, linkMbps: 1e6, firstMs: 0, isManaged: true,
	},
	partIndex: {has: () => true, getFetchDeadlineMs: () => 1} as unknown as KvStore['partIndex'],
};
const engine = {
	slots: 1, memoryTokens: 1e6, tokenBytes: 1, linkMbps: 1e6, models: ['m'],
};
const prompt = {
	model: 'm', promptTokens: 200, outputTokens: 1, expectedOutputTokens: undefined, parts: [{id: 'shared', tokens: 100}, {id: 'own', tokens: 100}],
};

describe('the KV cache of a prompt that ran at an engine of another domain', () => {
	test.each([
		['is fetched from that engine while its domain is in service', [], false, evacuated.address],
		['is not fetched from that engine once its domain is out of service', [], true, undefined],
		['is still fetched from a store of KV cache in a domain out of service', [kvStore], true, kvStore.store.address],
	] as const)('%s', (_name, stores, isOut, expected) => {
		const registry = createTestRegistry(() => ({abort: () => undefined, resume: () => undefined}));
		registry.updateUpstreams([kept, evacuated]);
		const planKvReuse = createKvReusePlanner({
			registry, isEvacuated: name => isOut && name === domain, findNewerWeights: () => undefined, weightsConfirmedAt: () => nowMs,
			kept: {stores: () => stores, isBeingSaved: () => false, recordSave: () => undefined},
			kvSharing: () => ({
				...createKvSharing(), isInUse: () => true, contentVersion: 1, groupSince: Number.NEGATIVE_INFINITY,
			}),
			clocks: {suspendAware: () => nowMs, monotonic: () => nowMs},
		});
		const createPlan = () => planKvReuse(prompt, engine, undefined, 0.001);
		createPlan().at(evacuated).recordSent();
		expect(createPlan().at(kept).parts[0]!.fetchFrom).toBe(expected);
	});
});
