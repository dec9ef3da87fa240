import {expect, test} from 'vitest';
import {type GossipEntry} from '../../src/decide/membership/gossip-entry.js';
import {type MembershipTask} from '../../src/membership/membership-task.js';
import {type OwnerResolver} from '../../src/membership/owner-resolver.js';
import {type PeerRpc} from '../../src/peers/peer-rpc.js';
import {createPoisonRequestTask} from '../../src/poison/create-poison-request-task.js';
import {type PoisonRequestTask} from '../../src/poison/poison-request-task.js';

type EntryListener = (section: string, entries: readonly GossipEntry[]) => void;

/** Starts the tasks of three hosts; `owner` owns all digests. A mark reaches the sender, and the others unless it is lost. */
function startHosts(isLost: (state: string) => boolean): ReadonlyMap<string, PoisonRequestTask> {
	const listeners = new Map<string, EntryListener>();
	const tasks = new Map<string, PoisonRequestTask>();
	const call = (async (_address: string, method: 'poison.begin' | 'poison.end', params: never) => tasks.get('owner')!.handlers[method](params)) as PeerRpc;
	for (const name of ['runner', 'owner', 'other']) {
		const membership = {
			async put(section: string, id: string, value: {readonly state: string}) {
				const entry = {id, value, version: 1} as unknown as GossipEntry;
				for (const [host, listener] of listeners) {
					if (host === name || !isLost(value.state)) {
						listener(section, [entry]);
					}
				}
			},
			onEntries(listener: EntryListener) {
				listeners.set(name, listener);
			},
		} as unknown as MembershipTask;
		tasks.set(name, createPoisonRequestTask(name, membership, {inRegion: () => ({name: 'owner', peers: 'owner'})} as unknown as OwnerResolver, call));
	}

	return tasks;
}

test.each([
	['heard', () => false],
	['did not hear', (state: string) => state === 'suspect'],
])('a second crash condemns a request at all hosts, also when its owner %s of the first', async (_, isLost) => {
	const hosts = startHosts(isLost);
	const runner = hosts.get('runner')!;
	await runner.suspect('digest');
	expect(await runner.begin('digest', 'run-1')).toBe('run-alone');
	await runner.end('digest', 'run-1', 'crashed');
	expect([...hosts.values()].map(host => host.isCondemned('digest'))).toEqual([true, true, true]);
});
