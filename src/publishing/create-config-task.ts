import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type Platform} from '../platform/platform.js';
import {sleep} from '../util/sleep.js';
import {type ConfigHead} from './config-head.js';
import {configObjectKeys} from './config-object-keys.js';
import {type ConfigTask} from './config-task.js';
import {loadConfigSnapshot} from './load-config-snapshot.js';
import {type ConfigSnapshot} from './config-snapshot.js';

const watchTimeoutMs = 20_000;
const retryPauseMs = 1000;
const textTimeoutMs = 3000;

type Head = Pick<ConfigHead, 'revision' | 'services'>;

/** Options of `createConfigTask`. */
type ConfigTaskOptions = {
	readonly platform: Platform;
	readonly call: PeerRpc;
	/** This host's address for peers. */
	readonly address: string;
	/** Returns whether this host watches the platform on behalf of its domain. */
	readonly isWatcher: () => boolean;
	/** Returns the peer addresses of the other live hosts of the domain. */
	readonly peerAddresses: () => readonly string[];
};

/**
Starts the task that loads configuration from the platform and from peers. The revision of a host never decreases: a head
with a lower revision is ignored, whatever its source.
*/
export function createConfigTask(options: ConfigTaskOptions): ConfigTask {
	const {platform, call, address, isWatcher, peerAddresses} = options;
	const listeners: Array<(snapshot: ConfigSnapshot) => void> = [];
	const stopping = new AbortController();
	let current: ConfigSnapshot | undefined;

	const announceHead = ({revision, services}: Head): void => {
		for (const peerAddress of peerAddresses()) {
			call(peerAddress, 'config.push', {revision, services, peers: address}).catch(() => undefined);
		}
	};

	/** Loads the snapshot of a newer head, makes it current and announces it to the domain's other hosts. */
	const applyHead = async (head: Head, readText: (digest: string) => Promise<string>, source: string): Promise<void> => {
		if (head.revision <= (current?.revision ?? 0)) {
			return;
		}

		const next = await loadConfigSnapshot(head, current, readText);
		if (next.revision <= (current?.revision ?? 0)) {
			return;
		}

		current = next;
		log.info({revision: next.revision, source}, 'configuration in force');
		for (const listener of listeners) {
			listener(next);
		}

		announceHead(head);
	};

	const readFromPlatform = async (digest: string): Promise<string> => {
		const object = await platform.read(configObjectKeys.service(digest));
		if (!object) {
			throw new Error(`the platform has no service file with digest ${digest}`);
		}

		return object.value;
	};

	const readFromPeer = (peerAddress: string) => async (digest: string): Promise<string> => {
		const {text} = await call(peerAddress, 'config.text', {digest}, {timeoutMs: textTimeoutMs});
		return text ?? readFromPlatform(digest);
	};

	const watch = async (): Promise<void> => {
		let after = 0;
		while (!stopping.signal.aborted) {
			if (!isWatcher() && current) {
				await sleep(retryPauseMs, stopping.signal);
				continue;
			}

			try {
				const startedAt = Date.now();
				const object = await platform.watch(configObjectKeys.head, after, current ? watchTimeoutMs : retryPauseMs);
				if (object) {
					await applyHead(JSON.parse(object.value) as ConfigHead, readFromPlatform, 'platform');
					after = object.version;
				} else if (Date.now() - startedAt < retryPauseMs) {
					// Waits when a watch returns early, so that the platform isn't called in a tight loop.
					await sleep(retryPauseMs, stopping.signal);
				}
			} catch (error) {
				log.debug({error: String(error)}, 'configuration watch failed');
				await sleep(retryPauseMs, stopping.signal);
			}
		}
	};

	void watch();
	return {
		current: () => current,
		onChange(listener) {
			listeners.push(listener);
		},
		async pull(peerAddress) {
			try {
				const head = await call(peerAddress, 'config.head', {});
				await applyHead(head, readFromPeer(peerAddress), peerAddress);
			} catch (error) {
				log.debug({peers: peerAddress, error: String(error)}, 'configuration pull failed');
			}
		},
		handlers: {
			'config.head': async () => ({revision: current?.revision ?? 0, services: current?.digests ?? {}}),
			async 'config.push'({revision, services, peers}) {
				await applyHead({revision, services}, readFromPeer(peers), peers);
				return {};
			},
			'config.text': async ({digest}) => ({text: current?.texts[digest] ?? null}),
		},
		async stop() {
			stopping.abort();
		},
	};
}
