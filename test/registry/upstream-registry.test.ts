import {describe, expect, test} from 'vitest';
import {createUpstreamRegistry} from '../../src/registry/create-upstream-registry.js';
import {type ResponseListener} from '../../src/forwarding/response-listener.js';
import {type Upstream} from '../../src/forwarding/upstream.js';
import {createUpstreamLinks} from '../../src/links/create-upstream-links.js';

const placed: Upstream = {
	id: 'i-0', service: 'app', address: '127.0.0.1:1', domain: 'domain-a', slots: 1, isLeaving: false, startedAt: 1, softwareVersion: 'v1', weights: new Map(),
};

/** Creates a registry that counts what is sent. */
function createRegistry() {
	let sent = 0;
	const links = createUpstreamLinks({
		ping: async () => true, chargeProbe: () => 0, now: () => 0, random: () => 0,
	});
	links.stop();
	const registry = createUpstreamRegistry({
		now: () => 0,
		links,
		maxConnectionsFor: () => 4,
		link: () => ({
			send() {
				sent++;
				return {abort: () => undefined, resume: () => undefined};
			},
			hasIdle: () => false,
			closeIdle: () => undefined,
			close: () => undefined,
		}),
	});
	registry.updateUpstreams([placed]);
	return {registry, countSent: () => sent};
}

describe('a request that was placed at an upstream', () => {
	test.each([
		['still there', [placed], 1],
		['there with other weights', [{...placed, weights: new Map([['m', 2]])}], 1],
		['gone', [], 0],
		['started again under its id', [{...placed, startedAt: 2, softwareVersion: 'v2'}], 0],
	] as const)('is sent only if the upstream is the same one by then: %s', async (_name, upstreams, expected) => {
		const {registry, countSent} = createRegistry();
		registry.updateUpstreams(upstreams);
		const failures: Array<readonly [string, boolean]> = [];
		const listener: ResponseListener = {
			onHead: () => undefined,
			onData: () => true,
			onEnd: () => true,
			onFail(error, wasSent) {
				failures.push([error.message, wasSent]);
			},
		};
		registry.send(placed, {
			method: 'GET', target: '/', headers: [], body: undefined,
		}, {waitingTokens: 0, heldTokens: 0, priority: 0}, listener);
		await Promise.resolve();
		expect(countSent()).toBe(expected);
		expect(failures).toEqual(expected === 1 ? [] : [['the upstream has left', false]]);
	});
});

describe('a request that could not be sent', () => {
	test.each([
		['ECONNREFUSED', false],
		['ECONNRESET', false],
		['UND_ERR_CONNECT_TIMEOUT', false],
		['UND_ERR_INVALID_ARG', true],
		['ERR_INVALID_CHAR', true],
		['UND_ERR_DESTROYED', true],
	])('shows that the link is lost only if no connection could be opened: %s', async (code, isReachable) => {
		const links = createUpstreamLinks({
			ping: async () => true, chargeProbe: () => 0, now: () => 0, random: () => 0,
		});
		links.stop();
		const registry = createUpstreamRegistry({
			now: () => 0,
			links,
			maxConnectionsFor: () => 4,
			link: () => ({
				send(_request, listener) {
					queueMicrotask(() => {
						listener.onFail(Object.assign(new Error('not sent'), {code}), false);
					});
					return {abort: () => undefined, resume: () => undefined};
				},
				hasIdle: () => false,
				closeIdle: () => undefined,
				close: () => undefined,
			}),
		});
		registry.updateUpstreams([placed]);
		registry.send(placed, {
			method: 'GET', target: '/', headers: [], body: undefined,
		}, {waitingTokens: 0, heldTokens: 0, priority: 0}, {
			onHead: () => undefined, onData: () => true, onEnd: () => true, onFail: () => undefined,
		});
		await Promise.resolve();
		expect(registry.listAvailable('app', 0, 0)[0]!.isReachable).toBe(isReachable);
	});
});
