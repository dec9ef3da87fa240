import {createGossipTable} from '../decide/membership/create-gossip-table.js';
import {createMembership} from '../decide/membership/create-membership.js';
import {type GossipEntry} from '../decide/membership/gossip-entry.js';
import {type Member} from '../decide/membership/member.js';
import {type MembershipAction} from '../decide/membership/membership-action.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type Platform} from '../platform/platform.js';
import {type MembershipTask} from './membership-task.js';

const tickMs = 1000;
const probeTimeoutMs = 500;
const seedMs = 10_000;

/** What the membership task needs. */
type MembershipTaskOptions = {
	readonly self: Member;
	readonly call: PeerRpc;
	readonly platform: Platform;
	readonly seeds: readonly string[];
	readonly random: () => number;
	/** Revision in force here. */
	readonly revision: () => number;
	/** Called when a peer has a newer revision. */
	readonly onRevision: (peers: string, revision: number) => void;
};

/** Starts the task that probes peers, exchanges gossip with them and knows who is alive. */
export function createMembershipTask(options: MembershipTaskOptions): MembershipTask {
	const {self, call, platform, seeds, random, revision, onRevision} = options;
	const gossip = createGossipTable();
	const membership = createMembership(self, gossip, Date.now(), {random});
	const changeListeners: Array<() => void> = [];
	const frozenListeners: Array<() => void> = [];
	const entryListeners: Array<(section: string, entries: readonly GossipEntry[]) => void> = [];

	const take = (section: string, entries: readonly GossipEntry[]): void => {
		const fresh = entries.filter(entry => entry.version > (gossip.get(section, entry.id)?.version ?? -1));
		act(membership.onEntries(section, entries, Date.now()));
		if (fresh.length > 0) {
			for (const listener of entryListeners) {
				listener(section, fresh);
			}
		}
	};

	const exchange = async (peers: string, theirs: Readonly<Record<string, string>>): Promise<void> => {
		const now = Date.now();
		const own = gossip.vector(now);
		const differing = [...new Set([...Object.keys(own), ...Object.keys(theirs)])].filter(section => own[section] !== theirs[section]);
		const sections = Object.fromEntries(differing.map(section => [section, gossip.entries(section, now)]));
		const answer = await call(peers, 'gossip.sync', {sections, want: differing});
		for (const [section, entries] of Object.entries(answer.sections)) {
			take(section, entries);
		}
	};

	const probeAddress = async (peers: string): Promise<void> => {
		const digest = gossip.digest(Date.now());
		const answer = await call(peers, 'gossip.probe', {from: self.name, digest, revision: revision()}, {timeoutMs: probeTimeoutMs});
		if (answer.revision > revision()) {
			onRevision(peers, answer.revision);
		}

		if (answer.vector) {
			await exchange(peers, answer.vector);
		}
	};

	const probe = async (target: Member): Promise<void> => {
		try {
			await probeAddress(target.peers);
			act(membership.onAnswered(target.name, Date.now()));
		} catch {
			act(membership.onProbeFailed(target.name, Date.now()));
		}
	};

	const probeThrough = async (target: Member, helpers: readonly Member[]): Promise<void> => {
		const answers = await Promise.allSettled(helpers.map(async helper =>
			call(helper.peers, 'gossip.probeThrough', {peers: target.peers}, {timeoutMs: 2 * probeTimeoutMs})));
		const answered = answers.some(answer => answer.status === 'fulfilled' && answer.value.answered);
		act(answered ? membership.onAnswered(target.name, Date.now()) : membership.onUnreachable(target.name, Date.now()));
	};

	const act = (actions: readonly MembershipAction[]): void => {
		for (const action of actions) {
			switch (action.kind) {
				case 'probe': {
					void probe(action.target);
					break;
				}

				case 'probe-through': {
					void probeThrough(action.target, action.helpers);
					break;
				}

				case 'long-pause': {
					log.warn({pausedMs: action.pausedMs}, 'the process was stopped; rejoining');
					for (const listener of frozenListeners) {
						listener();
					}

					break;
				}

				case 'changed': {
					log.info({members: action.members.map(({name, state}) => `${name}:${state}`)}, 'members changed');
					for (const listener of changeListeners) {
						listener();
					}

					break;
				}
			}
		}
	};

	const push = async (section: string, entries: readonly GossipEntry[], scope: 'domain' | 'region' = 'domain'): Promise<void> => {
		const near = membership.members(Date.now()).filter(member =>
			member[scope] === self[scope] && member.name !== self.name && member.state !== 'dead' && member.state !== 'left');
		// Lost pushes are made up for by the next comparison of digests.
		await Promise.allSettled(near.map(async member =>
			call(member.peers, 'gossip.sync', {sections: {[section]: entries}, want: []}, {timeoutMs: probeTimeoutMs})));
	};

	const seed = async (): Promise<void> => {
		const known = new Set(membership.members(Date.now()).filter(member => member.state !== 'dead').map(member => member.peers));
		let listed: readonly string[] = [];
		try {
			const hosts = await platform.hosts();
			listed = hosts.filter(host => !host.leaving).map(host => host.peers);
		} catch (error) {
			log.debug({error: String(error)}, 'the host list could not be read');
		}

		const unknown = [...new Set([...seeds, ...listed])].filter(peers => !known.has(peers) && peers !== self.peers);
		await Promise.allSettled(unknown.map(async peers => probeAddress(peers)));
	};

	const ticking = setInterval(() => {
		act(membership.tick(Date.now()));
	}, tickMs);
	const seeding = setInterval(() => {
		void seed();
	}, seedMs);
	void seed();

	return {
		gossip,
		self: membership.self,
		members: () => membership.members(Date.now()),
		onChange(listener) {
			changeListeners.push(listener);
		},
		onLongPause(listener) {
			frozenListeners.push(listener);
		},
		onEntries(listener) {
			entryListeners.push(listener);
		},
		async put(section, id, value, {expiresAt, scope} = {}) {
			const version = Math.max(Date.now(), (gossip.get(section, id)?.version ?? 0) + 1);
			const entry = {
				id, version, value, ...(expiresAt === undefined ? {} : {expiresAt}),
			};
			take(section, [entry]);
			await push(section, [entry], scope);
		},
		leave() {
			act(membership.leave(Date.now()));
			const section = `hosts/${self.domain}`;
			void push(section, [gossip.get(section, self.name)!]);
		},
		handlers: {
			async 'gossip.probe'({digest}) {
				const now = Date.now();
				const own = gossip.digest(now);
				return {digest: own, revision: revision(), ...(own === digest ? {} : {vector: gossip.vector(now)})};
			},
			async 'gossip.sync'({sections, want}) {
				for (const [section, entries] of Object.entries(sections)) {
					take(section, entries);
				}

				const now = Date.now();
				return {sections: Object.fromEntries(want.map(section => [section, gossip.entries(section, now)]))};
			},
			async 'gossip.probeThrough'({peers}) {
				try {
					await probeAddress(peers);
					return {answered: true};
				} catch {
					return {answered: false};
				}
			},
		},
		async stop() {
			clearInterval(ticking);
			clearInterval(seeding);
			membership.left(Date.now());
			void push(`hosts/${self.domain}`, [gossip.get(`hosts/${self.domain}`, self.name)!]);
		},
	};
}
