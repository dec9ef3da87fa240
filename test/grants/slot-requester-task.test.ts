import {
	afterEach, describe, expect, test,
} from 'vitest';
import {createEngineWaitEstimator} from '../../src/decide/routing/create-engine-wait-estimator.js';
import {PeerUnreachableError} from '../../src/errors/peer-unreachable-error.js';
import {createSlotRequesterTask} from '../../src/grants/create-slot-requester-task.js';
import {type PeerRpc} from '../../src/peers/peer-rpc.js';
import {waitUntil} from '../support/wait-until.js';

const engines = ['e-1', 'e-2'];
let stop: () => Promise<void> = async () => undefined;

afterEach(async () => {
	await stop();
});

/** Starts a task whose owner grants e-1 at once and e-2 never, and does not respond to the first `lostCalls` calls of `method`. */
function startRequester(method: string, lostCalls: number) {
	const notifications: string[] = [];
	let failures = 0;
	const call = (async (_address: string, called: string, params: {readonly engine: string}, {signal}: {readonly signal?: AbortSignal} = {}) => {
		if (called === 'grant.ask') {
			if (params.engine === 'e-1') {
				return {cachedPieces: 0, waitMs: 0};
			}

			return new Promise((_, reject) => {
				signal?.addEventListener('abort', () => {
					reject(new PeerUnreachableError('owner', called, 'given up'));
				});
			});
		}

		if (called === method && failures < lostCalls) {
			failures++;
			throw new PeerUnreachableError('owner', called, 'no answer');
		}

		notifications.push(`${called} ${params.engine}`);
		return {};
	}) as unknown as PeerRpc;
	const owner = {name: 'owner', peers: 'owner', state: 'alive'};
	const task = createSlotRequesterTask({
		self: 'self', call, fanout: 2, waits: createEngineWaitEstimator(),
		owners: {inDomain: () => owner, liveHosts: () => [owner]} as never,
		localOwner: {handlers: {}} as never,
		engineAt: () => undefined as never,
	});
	stop = task.stop;
	return {task, notifications};
}

describe('the owner of an engine', () => {
	test.each([
		['grant.withdraw', 'grant.withdraw e-2'],
		['grant.release', 'grant.release e-1'],
	])('is notified by %s again when it did not respond', async (method, expected) => {
		const {task, notifications} = startRequester(method, 2);
		const grant = await task.acquire({
			requestId: 'r', keys: [], alone: false, resumed: false, deadlineAt: Date.now() + 5000, signal: new AbortController().signal,
			item: {
				service: 's', serviceWeight: 1, workspace: 'w', workspaceWeight: 1, cost: 1,
			},
			candidates: engines.map(engine => ({
				engine, domain: 'd', url: '', prefillTokens: 0,
			})),
		});
		grant.release(1, false);
		await waitUntil('the owner to be notified', () => notifications.includes(expected));
		expect(notifications.filter(call => call === expected)).toHaveLength(1);
	});
});
