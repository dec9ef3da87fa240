import {describe, expect, test} from 'vitest';
import {buildExpectedChunks} from './build-expected-chunks.js';
import {findViolations} from './find-violations.js';
import {
	type Call, type SoakHistory, type UpstreamRun,
} from './soak-history.js';

const call = (changed: Partial<Call> = {}): Call => {
	const id = changed.id ?? 'soak-1';
	const target = changed.target ?? `/read/${id}`;
	return {
		id, kind: 'read', target, body: '', key: 'key-1', host: 'host-0', sentAt: 40_000, endedAt: 40_050, status: 200, seal: 'i-0-0',
		text: buildExpectedChunks(id, target).join(''), isWhole: true, hasLeft: false, ...changed,
	};
};

const run = (changed: Partial<UpstreamRun> = {}): UpstreamRun => ({
	id: 'soak-1', upstream: 'i-0', target: '/read/soak-1', body: '', workspace: 'acme', hasKey: false, at: 40_010, resumedAfter: undefined, seal: 'i-0-0', version: 'v1', ...changed,
});

const history = (changed: Partial<SoakHistory> = {}): SoakHistory => ({
	calls: [call()], runs: [run()], orders: [], limits: [], rests: [], cuts: [], disturbances: [], changes: [], exits: [],
	weights: {named: 1, held: [1]}, calmFrom: 20_000, endedAt: 60_000, ...changed,
});

const range = (count: number): readonly number[] => Array.from({length: count}, (_, index) => index);
const booking = {id: 'soak-1', target: '/book/soak-1', body: 'b'};
const stream = {id: 'soak-1', target: '/ask/soak-1', body: 'b'};
const pieces = buildExpectedChunks('soak-1', '/ask/soak-1');

const cases: ReadonlyArray<readonly [name: string, changed: Partial<SoakHistory>, found: string | undefined]> = [
	['a served request', {}, undefined],
	['a booking that ran twice', {calls: [call({...booking, kind: 'book'})], runs: [run(booking), run({...booking, upstream: 'i-1', seal: 'i-1-0'})]}, 'twice'],
	['a request that ran at as many upstreams as its route allows', {runs: [run({upstream: 'i-1', seal: 'i-1-0'}), run()]}, undefined],
	['a request that ran at more upstreams than its route allows', {runs: ['i-2', 'i-1', 'i-0'].map(upstream => run({upstream, seal: `${upstream}-0`}))}, 'attempts'],
	['a booking that ran although it was refused as not run', {calls: [call({...booking, kind: 'book', status: 503})], runs: [run(booking)], calmFrom: 39_000}, 'refused'],
	['a response to another request', {calls: [call({text: 'answer to soak-2 for /read/soak-2'})]}, 'mixed'],
	['a response whose seal belongs to none of its runs', {calls: [call({seal: 'i-9-9'})]}, 'mixed'],
	['a stream with a chunk left out that ends as complete', {calls: [call({...stream, kind: 'ask', text: pieces.slice(1).join('')})], runs: [run(stream)]}, 'mixed'],
	['a stream that ends as incomplete', {
		calls: [call({
			...stream, kind: 'ask', text: pieces[0]!, isWhole: false,
		})], runs: [run(stream)], calmFrom: 39_000, disturbances: [{
			scope: 'host host-0', kind: 'host is killed', from: 39_900, until: 40_100,
		}],
	}, 'recovery'],
	['a stream that its host went on with at another version', {
		calls: [call({...stream, kind: 'ask'})], runs: [run(stream), run({
			...stream, resumedAfter: '1', seal: 'i-1-0', version: 'v2',
		})],
	}, 'order'],
	['a stream that its caller took up at another version', {
		calls: [call({
			...stream, kind: 'ask', text: pieces[0]!, isWhole: false, hasLeft: true,
		}), call({
			...stream, id: 'soak-2', kind: 'resume', text: pieces.slice(1).join(''), seal: 'i-1-0', resumed: {begunBy: 'soak-1', after: 0},
		})],
		runs: [run(stream), run({
			...stream, id: 'soak-2', resumedAfter: '0', seal: 'i-1-0', version: 'v2',
		})],
	}, 'order'],
	['a stream that its caller took up at its version', {
		calls: [call({
			...stream, kind: 'ask', text: pieces[0]!, isWhole: false, hasLeft: true,
		}), call({
			...stream, id: 'soak-2', kind: 'resume', text: pieces.slice(1).join(''), seal: 'i-1-0', resumed: {begunBy: 'soak-1', after: 0},
		})],
		runs: [run(stream), run({
			...stream, id: 'soak-2', resumedAfter: '0', seal: 'i-1-0',
		})],
	}, undefined],
	['an upstream that gets three requests of a host that it asked for rest', {
		rests: [{
			upstream: 'i-0', id: 'soak-1', restS: 3, at: 40_000,
		}], runs: [0, 1, 2].map(index => run({id: 'soak-1', at: 41_000 + index, resumedAfter: String(index)})),
		calls: [call({target: '/read/soak-1'})],
	}, 'rest'],
	['an upstream that gets two requests of a host that it asked for rest', {
		rests: [{
			upstream: 'i-0', id: 'soak-1', restS: 3, at: 40_000,
		}], runs: [0, 1].map(index => run({id: 'soak-1', at: 41_000 + index})),
	}, undefined],
	...[['as often as the others', 200, undefined], ['not at all', 503, 'recover']].map(([name, status, found]) => [`a host that is cut off from upstreams and serves ${String(name)}`, {
		cuts: [{host: 'host-1', from: 35_000, until: 41_000}], calmFrom: 30_000,
		calls: [call({id: 'soak-later', sentAt: 45_000}), ...['host-0', 'host-1'].flatMap(host => range(25).map(index => call({
			id: `soak-${host}-${index}`, host, status: host === 'host-1' ? Number(status) : 200,
		})))],
		runs: [run({id: 'soak-later', target: '/read/soak-later'}), ...['host-0', 'host-1'].flatMap(host => range(25).map(index => run({id: `soak-${host}-${index}`, target: `/read/soak-${host}-${index}`})))],
	}, found] as [string, Partial<SoakHistory>, string | undefined]),
	['an upstream that gets more than its limit', {
		calls: Array.from({length: 30}, (_, index) => call({id: `soak-${index}`, seal: 'i-0-0'})),
		runs: Array.from({length: 30}, (_, index) => run({id: `soak-${index}`, target: `/read/soak-${index}`, at: 40_000 + (index * 100)})),
		limits: [{
			upstream: 'i-0', perS: 2, from: 30_000, until: 60_000,
		}],
	}, 'limit'],
	['an upstream that gets its limit', {
		calls: Array.from({length: 10}, (_, index) => call({id: `soak-${index}`, seal: 'i-0-0'})),
		runs: Array.from({length: 10}, (_, index) => run({id: `soak-${index}`, target: `/read/soak-${index}`, at: 40_000 + (index * 100)})),
		limits: [{
			upstream: 'i-0', perS: 2, from: 30_000, until: 60_000,
		}],
	}, undefined],
	['a run that no caller requested', {runs: [run(), run({id: 'soak-9'})]}, 'unasked'],
	['a request under another workspace', {runs: [run({workspace: 'walled'})]}, 'unasked'],
	['an API key that was forwarded to an upstream', {runs: [run({hasKey: true})]}, 'unasked'],
	['work for a leaving upstream', {changes: [{kind: 'leaving', what: 'i-0', at: 37_000}]}, 'drain'],
	['a removed route that still forwards requests', {calls: [call({kind: 'extra'})], changes: [{kind: 'removed', what: 'r-extra', at: 37_000}]}, 'configuration'],
	['a response lost in a planned shutdown', {
		calls: [call({isWhole: false, text: '', status: 0})], disturbances: [{
			scope: 'host host-0', kind: 'host stops', from: 39_000, until: 47_000,
		}],
	}, 'lost'],
	['more retries than the budget allows', {runs: Array.from({length: 30}, () => run())}, 'budget'],
	['a request that crashes upstreams long after its third crash', {
		runs: [run(), ...[1000, 2000, 3000, 6500, 7000, 7500, 8000].map(at => run({id: 'soak-1', target: '/ask/crash-0', at}))],
	}, 'crash'],
	['two holders with one fencing token', {
		orders: [{
			upstream: 'i-0', holder: 'a', token: 3, at: 1,
		}, {
			upstream: 'i-0', holder: 'b', token: 3, at: 2,
		}],
	}, 'one'],
	['an engine with stale weights', {weights: {named: 2, held: [2, 1]}}, 'weights'],
	['a failure long after the last disturbance', {
		calls: [call(), call({
			id: 'soak-2', status: 502, isWhole: true, text: '',
		})],
	}, 'calm'],
	['a host that exited unexpectedly', {exits: ['host-1']}, 'exit'],
];

describe('the checks of the soak', () => {
	test.each(cases)('report %s only if it is a violation', (_name, changed, found) => {
		const kinds = findViolations(history(changed), true).map(text => text.split(':')[0]);
		if (found === undefined) {
			expect(kinds).toEqual([]);
		} else {
			expect(kinds).toContain(found);
		}
	});
});
