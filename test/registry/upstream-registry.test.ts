import {describe, expect, test} from 'vitest';
import {type ResponseListener} from '../../src/forwarding/response-listener.js';
import {createTestRegistry, testUpstream as placed} from '../support/create-test-registry.js';

const running = {abort: () => undefined, resume: () => undefined} as const;

describe('a request that was placed at an upstream', () => {
	test.each([
		['still there', [placed], 1],
		['there with other weights', [{...placed, weights: new Map([['m', 2]])}], 1],
		['gone', [], 0],
		['started again under its id', [{...placed, startedAt: 2, softwareVersion: 'v2'}], 0],
	] as const)('is sent only if the upstream is the same one by then: %s', async (_name, upstreams, expected) => {
		let sent = 0;
		const registry = createTestRegistry(() => {
			sent++;
			return running;
		});
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
			id: 'request', method: 'GET', target: '/', headers: [], body: undefined,
		}, {waitingTokens: 0, heldTokens: 0, priority: 0}, listener);
		await Promise.resolve();
		expect(sent).toBe(expected);
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
		const registry = createTestRegistry((_request, listener) => {
			queueMicrotask(() => {
				listener.onFail(Object.assign(new Error('not sent'), {code}), false);
			});
			return running;
		});
		registry.send(placed, {
			id: 'request', method: 'GET', target: '/', headers: [], body: undefined,
		}, {waitingTokens: 0, heldTokens: 0, priority: 0}, {
			onHead: () => undefined, onData: () => true, onEnd: () => true, onFail: () => undefined,
		});
		await Promise.resolve();
		expect(registry.listAvailable('app', 0, 0)[0]!.isReachable).toBe(isReachable);
	});
});

// Guards against outcomes that the limit does not hear of, and against refusals and lost links that it takes for slow or failing upstreams.
describe('the limit on requests in flight', () => {
	const head = {
		status: 200, headers: [], announcement: {}, isNotRun: false,
	} as unknown as Parameters<ResponseListener['onHead']>[0];
	test.each([
		['an answer', (listener: ResponseListener) => {
			listener.onHead(head);
		}, ['head true false']],
		['an answer that states a failure', (listener: ResponseListener) => {
			listener.onHead({...head, status: 500});
		}, ['head true true']],
		['a refusal', (listener: ResponseListener) => {
			listener.onHead({...head, status: 503, isNotRun: true});
		}, []],
		['a refused connection', (listener: ResponseListener) => {
			listener.onFail(Object.assign(new Error('refused'), {code: 'ECONNREFUSED'}), false);
		}, ['failure true']],
		['a silent one', (listener: ResponseListener) => {
			listener.onFail(Object.assign(new Error('silent'), {code: 'ETIMEDOUT'}), false);
		}, []],
		['a broken one', (listener: ResponseListener) => {
			listener.onFail(Object.assign(new Error('broken'), {code: 'ECONNRESET'}), true);
		}, ['failure false']],
	] as const)('hears of %s', async (_name, respond, expected) => {
		const heard: string[] = [];
		const registry = createTestRegistry((_request, listener) => {
			queueMicrotask(() => {
				respond(listener);
			});
			return running;
		}, () => 0, () => 4, {
			paces: {
				add: () => undefined, update: () => undefined, remove: () => undefined, view: () => ({limit: 3, isLimited: true}), tryTake: () => true,
				track: (_id, {expectedMs}) => ({
					recordHead(isFailure) {
						heard.push(`head ${expectedMs === 70} ${isFailure}`);
					},
					recordFailure(isLost) {
						heard.push(`failure ${isLost}`);
					},
				}),
				listReported: () => undefined, recordReported: () => undefined, countLimited: () => new Map(),
			},
		});
		registry.send(placed, {
			id: 'request', method: 'GET', target: '/', headers: [], body: undefined,
		}, {
			waitingTokens: 0, heldTokens: 0, priority: 0, expectedMs: 70,
		}, {
			onHead: () => undefined, onData: () => true, onEnd: () => true, onFail: () => undefined,
		});
		await Promise.resolve();
		expect(heard).toEqual(expected);
		expect(registry.listAvailable('app', 0, 0)[0]!.pace).toEqual({limit: 3, isLimited: true});
	});
});

// A host that read its upstreams before the configuration refused most requests for good: it kept the few connections that it then assumed.
describe('the connections to an upstream', () => {
	test.each([
		['are few before the configuration is known', [], 4],
		['are as many as the configuration allows once it is known', [40], 40],
		['are shared among the hosts that are known now', [40, 10], 10],
	])('%s', (_name, limits, expected) => {
		let limit = 4;
		const registry = createTestRegistry(() => running, () => 0, () => limit);
		for (const each of limits) {
			limit = each;
		}

		expect(registry.listAvailable('app', 0, 0)[0]!.freeConnections).toBe(expected);
	});
});

// Guards against a request that is placed at, counted for, or sent to an upstream of a failure domain out of service.
describe('an upstream whose failure domain is out of service', () => {
	test.each([[true, 0], [false, 1]])('takes part in placement, in reach and in sends only if it is back: %s', async (isOut, expected) => {
		let sent = 0;
		const registry = createTestRegistry(() => {
			sent++;
			return running;
		}, () => 0, () => 4, {isEvacuated: domain => isOut && domain === placed.domain});
		const failures: string[] = [];
		registry.send(placed, {
			id: 'request', method: 'GET', target: '/', headers: [], body: undefined,
		}, {waitingTokens: 0, heldTokens: 0, priority: 0}, {
			onHead: () => undefined, onData: () => true, onEnd: () => true,
			onFail(error, wasSent) {
				failures.push(`${error.message}, ${wasSent}`);
			},
		});
		await Promise.resolve();
		expect([sent, registry.listAvailable('app', 0, 0).length, registry.getReach('app').upstreams]).toEqual([expected, expected, expected]);
		expect(registry.listLostServices()).toEqual(isOut ? ['app'] : []);
		expect(failures).toEqual(isOut ? ['the failure domain of the upstream is out of service, false'] : []);
		expect(registry.listAll()).toHaveLength(1);
	});
});
