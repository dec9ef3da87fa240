import {describe, expect, it} from 'vitest';
import {createConfigTask} from '../../src/publishing/create-config-task.js';
import {type PeerRpc} from '../../src/peers/peer-rpc.js';
import {createFakePlatform} from '../support/create-fake-platform.js';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';
import {computeSha256} from '../../src/util/compute-sha256.js';
import {sleep} from '../../src/util/sleep.js';

const text = (weight: number): string => JSON.stringify({
	service: 'one', kind: 'plain', weight, workspaces: [{name: 'w', keys: [computeSha256('key')]}],
	upstreams: [{name: 'one-1', domain: 'd', url: 'http://127.0.0.1:1'}],
	routes: [{path: '/', method: 'GET', repeatable: true}],
});

describe('the configuration of a host', () => {
	it('keeps the highest revision in whatever order heads and texts arrive', async () => {
		const texts = new Map(Array.from({length: 6}, (_, index) => [computeSha256(text(index + 1)), text(index + 1)]));
		const hashes = [...texts.keys()];
		const call = (async (_address: string, method: string, params: {readonly digest: string}) => {
			// Older texts take longer to read, so an older head is the last to finish loading.
			await sleep(5 * (6 - hashes.indexOf(params.digest)));
			return method === 'config.text' ? {text: texts.get(params.digest)} : {};
		}) as unknown as PeerRpc;
		const platform = createFakePlatform(createSeededRandom(1), {
			refused: 1, lost: 0, late: 0, stale: 0,
		});
		const task = createConfigTask({
			platform, call, address: 'self:1', isWatcher: () => false, peerAddresses: () => [],
		});
		const seen: number[] = [];
		task.onChange(snapshot => {
			seen.push(snapshot.revision);
		});
		const push = async (revision: number) =>
			task.handlers['config.push']({revision, services: {one: hashes[revision - 1]!}, peers: 'peer:1'});
		await Promise.all([3, 1, 2, 6, 5, 4].map(async revision => push(revision)));
		await push(2);
		expect(task.current()!.revision).toBe(6);
		expect(seen).toEqual(seen.toSorted((a, b) => a - b));
		await task.stop();
	});
});
