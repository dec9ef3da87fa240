import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type Platform} from '../platform/platform.js';
import {sleep} from '../util/sleep.js';
import {type ConfigHead} from './config-head.js';
import {configObjectKeys} from './config-object-keys.js';
import {type ConfigTask} from './config-task.js';
import {loadConfigSnapshot} from './load-config-snapshot.js';
import {type ConfigSnapshot} from './config-snapshot.js';

const watchMs = 20_000;
const pauseMs = 1000;
const textTimeoutMs = 3000;

type Head = Pick<ConfigHead, 'revision' | 'services'>;

/** What the configuration task needs. */
type ConfigTaskOptions = {
	readonly platform: Platform;
	readonly call: PeerRpc;
	/** Own peers' address. */
	readonly address: string;
	/** Whether this host watches the platform for its domain. */
	readonly isWatcher: () => boolean;
	/** Peers' addresses of the other hosts of the domain. */
	readonly neighbours: () => readonly string[];
};

/**
Starts the task that brings configuration from the platform and from peers. The revision of a host never goes down: a
head with a lower revision, from whatever source, is ignored.
*/
export function createConfigTask(options: ConfigTaskOptions): ConfigTask {
	const {platform, call, address, isWatcher, neighbours} = options;
	const listeners: Array<(snapshot: ConfigSnapshot) => void> = [];
	const stopping = new AbortController();
	let current: ConfigSnapshot | undefined;

	const tell = ({revision, services}: Head): void => {
		for (const peers of neighbours()) {
			call(peers, 'config.push', {revision, services, peers: address}).catch(() => undefined);
		}
	};

	const take = async (head: Head, readText: (digest: string) => Promise<string>, source: string): Promise<void> => {
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

		tell(head);
	};

	const readFromPlatform = async (hash: string): Promise<string> => {
		const object = await platform.read(configObjectKeys.service(hash));
		if (!object) {
			throw new Error(`service text ${hash} is not in the platform`);
		}

		return object.value;
	};

	const readFromPeer = (peers: string) => async (hash: string): Promise<string> => {
		const {text} = await call(peers, 'config.text', {digest: hash}, {timeoutMs: textTimeoutMs});
		return text ?? readFromPlatform(hash);
	};

	const watch = async (): Promise<void> => {
		let after = 0;
		while (!stopping.signal.aborted) {
			if (!isWatcher() && current) {
				await sleep(pauseMs, stopping.signal);
				continue;
			}

			try {
				const askedAt = Date.now();
				const object = await platform.watch(configObjectKeys.head, after, current ? watchMs : pauseMs);
				if (object) {
					await take(JSON.parse(object.value) as ConfigHead, readFromPlatform, 'platform');
					after = object.version;
				} else if (Date.now() - askedAt < pauseMs) {
					// A watch that ends at once must not become a stream of calls.
					await sleep(pauseMs, stopping.signal);
				}
			} catch (error) {
				log.debug({error: String(error)}, 'configuration watch failed');
				await sleep(pauseMs, stopping.signal);
			}
		}
	};

	void watch();
	return {
		current: () => current,
		onChange(listener) {
			listeners.push(listener);
		},
		async pull(peers) {
			try {
				const head = await call(peers, 'config.head', {});
				await take(head, readFromPeer(peers), peers);
			} catch (error) {
				log.debug({peers, error: String(error)}, 'configuration pull failed');
			}
		},
		handlers: {
			'config.head': async () => ({revision: current?.revision ?? 0, services: current?.digests ?? {}}),
			async 'config.push'({revision, services, peers}) {
				await take({revision, services}, readFromPeer(peers), peers);
				return {};
			},
			'config.text': async ({digest}) => ({text: current?.texts[digest] ?? null}),
		},
		async stop() {
			stopping.abort();
		},
	};
}
