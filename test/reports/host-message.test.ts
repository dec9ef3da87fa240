import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {decodeHostMessage} from '../../src/reports/decode-host-message.js';
import {encodeHostMessage} from '../../src/reports/encode-host-message.js';
import {type HostMessage} from '../../src/reports/host-message.js';
import {type HostStatus} from '../../src/reports/host-status.js';
import {type LoadReport} from '../../src/reports/load-report.js';

const load = fc.record({
	id: fc.string(), inFlight: fc.nat(), heldTokens: fc.nat(), waitingTokens: fc.array(fc.tuple(fc.nat(9), fc.nat()), {maxLength: 4}),
});
const status: HostStatus = {
	host: 'a', domain: 'd', peers: '127.0.0.1:1', reports: '127.0.0.1:2', linkMbps: 10, everyMs: 100, epoch: 0, contentVersions: {}, changes: {config: 3}, isStoreLost: false, weightsAgeMs: 5,
	weightAges: [['m', 2, 700]],
};

describe('a message between hosts', () => {
	test('is unchanged after encoding and decoding', () => {
		fc.assert(fc.property(fc.array(load, {maxLength: 9}), loads => {
			const news: LoadReport = {
				loads, loading: [['i', 'm', 2]], weights: [], crashes: [], paces: [{
					id: 'i', startedAt: 3, setbacks: 1, limit: 4, onTime: 2, slow: 0,
				}],
			};
			const messages: readonly HostMessage[] = [
				{report: {...status, ...news}, isForSum: true},
				{
					sums: [{source: {host: 'a', domain: 'd', everyMs: 100}, news, members: [{status, ageMs: 7}]}],
					kept: [{
						store: 's', peers: '127.0.0.1:1', since: 4, news: undefined,
					}],
					isToPassOn: true,
				},
				{
					claims: {
						h: 'a', m: 4, c: [[5, 'u', 1, 700, 900]], n: [[6, 'u', 0, 0, 0]], a: [4], e: [3],
					},
					quotes: {h: 'a', q: [[5, 2, 300, 400, 1, 0]]},
				},
			];
			for (const message of messages) {
				expect(decodeHostMessage(encodeHostMessage(message))).toEqual(message);
			}
		}), {seed: 61});
	});
});

/** Guards against claims that would make the sums of a ledger wrong for all hosts. */
describe('claims in a message', () => {
	test.each([
		['a negative number of tokens', {claims: {h: 'a', m: 1, c: [[1, 'u', 1, -5, 0]]}}],
		['a part of a token', {claims: {h: 'a', m: 1, c: [[1, 'u', 1, 0.5, 0]]}}],
		['no upstream', {claims: {h: 'a', m: 1, c: [[1, '', 1, 5, 0]]}}],
		['too few fields', {claims: {h: 'a', m: 1, n: [[1, 'u', 1, 5]]}}],
		['no host', {claims: {m: 1, e: [1]}}],
		['no lowest number', {claims: {h: 'a', e: [1]}}],
		['an end that is no number', {claims: {h: 'a', m: 1, e: ['1']}}],
		['a quote of a negative load', {quotes: {h: 'a', q: [[1, -1, 0, 0, 0, 0]]}}],
		['a quote without flags', {quotes: {h: 'a', q: [[1, 1, 0, 0]]}}],
	])('are rejected with %s', (_name, message) => {
		expect(() => decodeHostMessage(Buffer.from(JSON.stringify(message)))).toThrow('malformed');
	});
});
