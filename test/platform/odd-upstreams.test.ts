import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {decodeConfiguration} from '../../platform/decode-configuration.js';
import {decodeDesiredWeights} from '../../platform/decode-desired-weights.js';
import {decodeUpstream} from '../../platform/decode-upstream.js';
import {decodeRegistration} from '../../src/reports/decode-registration.js';
import {isAddress} from '../../src/http/is-address.js';
import {oddEntries} from '../support/odd-entries.js';
import {platformObjects} from '../support/platform-objects.js';

const toObject = (value: unknown) => ({
	name: 'i-0', epoch: 1, revision: 1, value,
});

describe('an odd entry of the upstream list', () => {
	test.each(Object.entries(oddEntries.servers!))('names no upstream, and the fault is told: %s', (_, odd) => {
		const faults: string[] = [];
		expect(decodeUpstream(toObject(odd), fault => faults.push(fault))).toBeUndefined();
		expect(faults).toHaveLength(1);
	});
});

describe('an address', () => {
	test.each([
		['127.0.0.1:80', true],
		['10.1.64.43:65535', true],
		['10.1.64.43:65536', false],
		['10.1.64.43:0', false],
		['10.1.64.256:80', false],
		['10.1.64:80', false],
		[':80', false],
		['10.1.64.43', false],
		['', false],
	])('%s can be dialled: %s', (text, expected) => {
		expect(isAddress(text)).toBe(expected);
	});
});

describe('a cache store without an address that can be dialled', () => {
	test.each(['127.0.0.1:70000', '999.1.1.1:80', '', 'host'])('is no store, and its configuration counts: "%s"', address => {
		const decoded = decodeConfiguration(platformObjects.configuration(3, {services: [{name: 'cache', kv_store_addr: address}]}));
		expect(decoded?.services).toEqual([expect.not.objectContaining({store: expect.anything() as unknown})]);
	});
});

describe('the decoders of stored objects', () => {
	const anyValue = fc.anything({withNullPrototype: true, maxDepth: 4});
	const sound = platformObjects.upstream('127.0.0.1:9');
	const varied = fc.record({field: fc.constantFrom(...Object.keys(sound)), value: anyValue}).map(({field, value}) => ({...sound, [field]: value}));
	const entry = fc.oneof(anyValue, varied);
	const decoders = [
		['upstreams', (value: unknown) => decodeUpstream(toObject(value))],
		['configuration', decodeConfiguration],
		['weights', decodeDesiredWeights],
		['hosts', (value: unknown) => decodeRegistration(value, () => undefined)],
	] as const;

	test.each(decoders)('never throw: %s', (_, decode) => {
		fc.assert(fc.property(entry, value => {
			decode(value);
		}), {seed: 3701, numRuns: 500});
	});

	test('name only upstreams that can be dialled', () => {
		fc.assert(fc.property(entry, value => {
			const upstream = decodeUpstream(toObject(value));
			expect(upstream === undefined || isAddress(upstream.address)).toBe(true);
		}), {seed: 3702, numRuns: 500});
	});
});
