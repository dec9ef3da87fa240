import {createStoreDirectory} from '../decide/kept/create-store-directory.js';
import {rankOwners} from '../decide/membership/rank-owners.js';
import {log} from '../observe/log.js';
import {type PeerCaller} from '../peers/peer-caller.js';
import {sleep} from '../util/sleep.js';
import {type EngineControl} from './engine-control.js';
import {type KeptNews} from './kept-news.js';
import {type Service} from './service.js';
import {type KeptStore} from './kept-store.js';
import {type KeptTask} from './kept-task.js';

/** Polls of one store are this far apart, so that each brings several events; news of them go to every host. */
const pollMs = 250;
/** Up to this many hosts; then polls are rarer in proportion, up to a limit set by how long a listing may be used. */
const frequentHosts = 16;
const mostPollMs = 1000;
const waitMs = 250;
const tickMs = 100;
/** A host further down the ranking polls a store of which it has heard nothing for this long. */
const quietMs = 1200;
const quietRankMs = 500;
const pullTimeoutMs = 1500;
/** Events that fit in one datagram; other hosts ask for the whole list where there are more. */
const toldEvents = 150;
/** A save that has not shown in the store's events after this long is taken for lost. */
const savingMs = 4000;
/** Share of a store's room that saves may fill. */
const fillShare = 0.96;
const blockTokens = 16;

/** What the task needs. */
type KeptTaskOptions = {
	readonly self: string;
	readonly peers: string;
	readonly control: EngineControl;
	readonly call: PeerCaller;
	/** Names of the hosts that are alive, this one not included. */
	readonly others: () => readonly string[];
	readonly tell: (news: KeptNews) => void;
	/** Clock in milliseconds that counts suspensions. */
	readonly now: () => number;
};

/** One followed store. */
type Followed = {
	readonly kept: KeptStore;
	readonly saving: Map<string, {readonly tokens: number; readonly at: number}>;
	heardAt: number;
	isAnswering: boolean;
	hasStopped: boolean;
};

/** Starts the task. One host polls each store and passes the news on; the others poll only when they hear nothing. */
export function createKeptTask({self, peers, control, call, others, tell, now}: KeptTaskOptions): KeptTask {
	const followed = new Map<string, Followed>();
	const pulling = new Set<string>();

	const sweepSaves = ({saving, kept}: Followed): number => {
		let tokens = 0;
		for (const [key, save] of saving) {
			const [scope, part] = key.split('\n');
			if (now() - save.at > savingMs || kept.directory.has(scope!, part!)) {
				saving.delete(key);
			} else {
				tokens += save.tokens;
			}
		}

		return tokens;
	};

	const poll = async (entry: Followed): Promise<void> => {
		const {name, store: {address}, directory} = entry.kept;
		const since = directory.next();
		const sentAt = now();
		try {
			const news = since === undefined ? await control.listParts(address) : await control.pollParts(address, since, waitMs);
			directory.take(news, sentAt, now());
			entry.heardAt = now();
			if (!entry.isAnswering) {
				entry.isAnswering = true;
				log.info({store: name, epoch: news.epoch, tokens: directory.tokens()}, 'store of kept context answers');
			}

			const isWhole = since !== undefined && news.events.length <= toldEvents;
			tell({
				store: name, peers, since: since ?? -1, news: {...news, events: isWhole ? news.events : []},
			});
		} catch (error) {
			directory.lose();
			if (entry.isAnswering) {
				entry.isAnswering = false;
				log.warn({store: name, error: String(error)}, 'store of kept context does not answer');
				tell({
					store: name, peers, since: -1, news: undefined,
				});
			}
		}
	};

	const rankFor = (name: string): number => rankOwners([self, ...others()], name).indexOf(self);

	const shouldPoll = (entry: Followed): boolean => {
		const rank = rankFor(entry.kept.name);
		return rank === 0 || now() - entry.heardAt > quietMs + (rank * quietRankMs);
	};

	const follow = async (entry: Followed): Promise<void> => {
		while (!entry.hasStopped) {
			if (shouldPoll(entry)) {
				await poll(entry);
				await sleep(Math.min(mostPollMs, pollMs * Math.max(1, (others().length + 1) / frequentHosts)));
			} else {
				await sleep(tickMs);
			}
		}
	};

	const pull = async (entry: Followed, address: string): Promise<void> => {
		const {name} = entry.kept;
		if (pulling.has(name)) {
			return;
		}

		pulling.add(name);
		try {
			const sentAt = now();
			const {news} = await call(address, 'gateway.kept', {store: name}, {timeoutMs: pullTimeoutMs});
			if (news) {
				entry.kept.directory.lose();
				entry.kept.directory.take(news, sentAt, now());
			}
		} catch (error) {
			log.warn({store: name, peer: address, error: String(error)}, 'peer gave no list of kept context');
		} finally {
			pulling.delete(name);
		}
	};

	const add = (name: string, store: NonNullable<Service['store']>): void => {
		const directory = createStoreDirectory();
		const entry: Followed = {
			kept: {
				name, store, directory,
				savingTokens: () => sweepSaves(entry),
				canSave: tokens => directory.canSave(now())
					&& directory.tokens() + sweepSaves(entry) + tokens + blockTokens <= store.capacityTokens * fillShare,
			},
			saving: new Map(),
			heardAt: now(),
			isAnswering: false,
			hasStopped: false,
		};
		followed.set(name, entry);
		void follow(entry);
	};

	return {
		apply(services) {
			const listed = new Map(services.flatMap(service => service.store?.isManaged ? [[service.name, service.store] as const] : []));
			for (const [name, entry] of followed) {
				if (listed.get(name)?.address !== entry.kept.store.address) {
					entry.hasStopped = true;
					followed.delete(name);
				}
			}

			for (const [name, store] of listed) {
				if (!followed.has(name)) {
					add(name, store);
				}
			}
		},
		isPoller: name => rankFor(name) === 0,
		stores: () => [...followed.values()].map(entry => entry.kept),
		take({store, peers: from, since, news}) {
			const entry = followed.get(store);
			if (!entry) {
				return;
			}

			entry.heardAt = now();
			const {directory} = entry.kept;
			if (!news) {
				directory.lose();
				return;
			}

			const next = directory.next();
			const isNewer = news.epoch === directory.epoch() && next !== undefined && next >= news.next;
			if (isNewer && next !== news.next) {
				return;
			}

			if (news.epoch === directory.epoch() && next !== undefined && since >= 0 && since <= next) {
				directory.take(news, now(), now());
			} else {
				void pull(entry, from);
			}
		},
		list(store) {
			const directory = followed.get(store)?.kept.directory;
			const next = directory?.next();
			return directory && next !== undefined
				? {
					epoch: directory.epoch()!, next, hasGap: false, clockMs: directory.clockMs(),
					events: directory.held().map(part => ({isAdded: true, ...part})),
				}
				: undefined;
		},
		noteSave(store, scope, part, tokens) {
			followed.get(store)?.saving.set(`${scope}\n${part}`, {tokens, at: now()});
		},
		isBeingSaved: (scope, part) => [...followed.values()].some(entry => {
			const save = entry.saving.get(`${scope}\n${part}`);
			return save !== undefined && now() - save.at <= savingMs;
		}),
		stop() {
			for (const entry of followed.values()) {
				entry.hasStopped = true;
			}
		},
	};
}
