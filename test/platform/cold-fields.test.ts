import {describe, expect, test} from 'vitest';
import {decodeConfiguration} from '../../platform/decode-configuration.js';
import {decodeResponseHead} from '../../platform/decode-response-head.js';
import {decodeUpstream} from '../../platform/decode-upstream.js';

const decodeEntry = (fields: object) => decodeUpstream({
	name: 'i-0',
	epoch: 1,
	revision: 1,
	value: {
		service: 'app', address: '127.0.0.1:8080', zone: 'a', state: 'ready', ...fields,
	},
});

// Guards against a cold upstream that is taken for a warm one, and an odd number that hides a whole entry.
describe('what the platform states of cold upstreams', () => {
	test.each([
		['a time', {cold_remaining_ms: 4200}, 4200],
		['none left', {cold_remaining_ms: 0}, 0],
		['a negative time', {cold_remaining_ms: -5}, 0],
		['nothing', {}, undefined],
		['no number', {cold_remaining_ms: 'soon'}, undefined],
	])('is read from the entry of an upstream: %s', (_name, fields, expected) => {
		const upstream = decodeEntry(fields);
		expect(upstream?.id).toBe('i-0');
		expect(upstream?.coldForMs).toBe(expected);
	});

	test.each([
		['both', {cold_start_s: 6, cold_per_s: 11}, {coldStartMs: 6000, coldPerS: 11}],
		['no limit', {cold_start_s: 6, cold_per_s: 0}, {coldStartMs: 6000}],
		['neither', {}, {}],
	])('is read from the configuration: %s', (_name, fields, expected) => {
		const services = decodeConfiguration({version: 1, routes: [], services: [{name: 'app', ...fields}]})?.services;
		expect(services).toEqual([{
			name: 'app', maxConnections: 64, healthPath: undefined, ...expected,
		}]);
	});

	test.each([
		['a time', ['Cold-Ms', '1500'], 1500],
		['none left', ['cold-ms', '0'], 0],
		['a negative time', ['Cold-Ms', '-1'], undefined],
		['no number', ['Cold-Ms', '0x10'], undefined],
		['nothing', [], undefined],
	])('is read from the head of a response: %s', (_name, headers, expected) => {
		expect(decodeResponseHead(200, 'OK', headers, 'GET').announcement.coldForMs).toBe(expected);
	});
});
