import {createGossipTable} from '../decide/membership/create-gossip-table.js';
import {createMembership} from '../decide/membership/create-membership.js';
import {type GossipEntry} from '../decide/membership/gossip-entry.js';
import {type Member} from '../decide/membership/member.js';
import {type MembershipAction} from '../decide/membership/membership-action.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type Platform} from '../platform/platform.js';
import {type MembershipTask} from './membership-task.js';

const tickIntervalMs = 1000;
const probeTimeoutMs = 500;
const seedIntervalMs = 10_000;

/** Options of `createMembershipTask`. */
type MembershipTaskOptions = {
	readonly self: Member;
	readonly call: PeerRpc;
	readonly platform: Platform;
	/** Peer addresses that are contacted in addition to the platform's list of hosts. */
	readonly seeds: readonly string[];
	readonly random: () => number;
	/** Returns the configuration revision in force on this host. */
	readonly revision: () => number;
	/** Called with a peer's address when the peer has a newer revision. */
	readonly onRevision: (address: string, revision: number) => void;
};

/** Starts the task that probes peers, exchanges gossip with them and tracks which hosts are alive. */
export function createMembershipTask(options: MembershipTaskOptions): MembershipTask {
	const {self, call, platform, seeds, random, revision, onRevision} = options;
	const gossip = createGossipTable();
	const membership = createMembership(self, gossip, Date.now(), {random});
	const changeListeners: Array<() => void> = [];
	const longPauseListeners: Array<() => void> = [];
	const entryListeners: Array<(section: string, entries: readonly GossipEntry[]) => void> = [];

	/** Applies received entries and calls the listeners with those that are newer than the known ones. */
	const applyEntries = (section: string, entries: readonly GossipEntry[]): void => {
		const newEntries = entries.filter(entry => entry.version > (gossip.get(section, entry.id)?.version ?? -1));
		applyActions(membership.onEntries(section, entries, Date.now()));
		if (newEntries.length > 0) {
			for (const listener of entryListeners) {
				listener(section, newEntries);
			}
		}
	};

	/** Exchanges the entries of all sections whose digests differ between this host and the peer. */
	const exchange = async (address: string, peerVector: Readonly<Record<string, string>>): Promise<void> => {
		const now = Date.now();
		const ownVector = gossip.vector(now);
		const differing = [...new Set([...Object.keys(ownVector), ...Object.keys(peerVector)])].filter(section => ownVector[section] !== peerVector[section]);
		const sections = Object.fromEntries(differing.map(section => [section, gossip.entries(section, now)]));
		const response = await call(address, 'gossip.sync', {sections, want: differing});
		for (const [section, entries] of Object.entries(response.sections)) {
			applyEntries(section, entries);
		}
	};

	const probeAddress = async (address: string): Promise<void> => {
		const digest = gossip.digest(Date.now());
		const response = await call(address, 'gossip.probe', {from: self.name, digest, revision: revision()}, {timeoutMs: probeTimeoutMs});
		if (response.revision > revision()) {
			onRevision(address, response.revision);
		}

		if (response.vector) {
			await exchange(address, response.vector);
		}
	};

	const probe = async (target: Member): Promise<void> => {
		try {
			await probeAddress(target.peers);
			applyActions(membership.onAnswered(target.name, Date.now()));
		} catch {
			applyActions(membership.onProbeFailed(target.name, Date.now()));
		}
	};

	/** Has `helpers` probe a target that did not answer this host directly. */
	const probeIndirectly = async (target: Member, helpers: readonly Member[]): Promise<void> => {
		const responses = await Promise.allSettled(helpers.map(async helper =>
			call(helper.peers, 'gossip.probeThrough', {peers: target.peers}, {timeoutMs: 2 * probeTimeoutMs})));
		const answered = responses.some(response => response.status === 'fulfilled' && response.value.answered);
		applyActions(answered ? membership.onAnswered(target.name, Date.now()) : membership.onUnreachable(target.name, Date.now()));
	};

	const applyActions = (actions: readonly MembershipAction[]): void => {
		for (const action of actions) {
			switch (action.kind) {
				case 'probe': {
					void probe(action.target);
					break;
				}

				case 'probe-through': {
					void probeIndirectly(action.target, action.helpers);
					break;
				}

				case 'long-pause': {
					log.warn({pausedMs: action.pausedMs}, 'the process was stopped; rejoining');
					for (const listener of longPauseListeners) {
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

	const pushEntries = async (section: string, entries: readonly GossipEntry[], scope: 'domain' | 'region' = 'domain'): Promise<void> => {
		const recipients = membership.members(Date.now()).filter(member =>
			member[scope] === self[scope] && member.name !== self.name && member.state !== 'dead' && member.state !== 'left');
		// Entries of a lost push are exchanged after the next comparison of digests.
		await Promise.allSettled(recipients.map(async member =>
			call(member.peers, 'gossip.sync', {sections: {[section]: entries}, want: []}, {timeoutMs: probeTimeoutMs})));
	};

	/** Probes the seeds and the platform's registered hosts that are not known as live members. */
	const contactSeeds = async (): Promise<void> => {
		const known = new Set(membership.members(Date.now()).filter(member => member.state !== 'dead').map(member => member.peers));
		let listed: readonly string[] = [];
		try {
			const hosts = await platform.hosts();
			listed = hosts.filter(host => !host.leaving).map(host => host.peers);
		} catch (error) {
			log.debug({error: String(error)}, 'host list could not be read');
		}

		const unknown = [...new Set([...seeds, ...listed])].filter(address => !known.has(address) && address !== self.peers);
		await Promise.allSettled(unknown.map(async address => probeAddress(address)));
	};

	const tickTimer = setInterval(() => {
		applyActions(membership.tick(Date.now()));
	}, tickIntervalMs);
	const seedTimer = setInterval(() => {
		void contactSeeds();
	}, seedIntervalMs);
	void contactSeeds();

	return {
		gossip,
		self: membership.self,
		members: () => membership.members(Date.now()),
		onChange(listener) {
			changeListeners.push(listener);
		},
		onLongPause(listener) {
			longPauseListeners.push(listener);
		},
		onEntries(listener) {
			entryListeners.push(listener);
		},
		async put(section, id, value, {expiresAt, scope} = {}) {
			const version = Math.max(Date.now(), (gossip.get(section, id)?.version ?? 0) + 1);
			const entry = {
				id, version, value, ...(expiresAt === undefined ? {} : {expiresAt}),
			};
			applyEntries(section, [entry]);
			await pushEntries(section, [entry], scope);
		},
		leave() {
			applyActions(membership.leave(Date.now()));
			const section = `hosts/${self.domain}`;
			void pushEntries(section, [gossip.get(section, self.name)!]);
		},
		handlers: {
			async 'gossip.probe'({digest}) {
				const now = Date.now();
				const ownDigest = gossip.digest(now);
				return {digest: ownDigest, revision: revision(), ...(ownDigest === digest ? {} : {vector: gossip.vector(now)})};
			},
			async 'gossip.sync'({sections, want}) {
				for (const [section, entries] of Object.entries(sections)) {
					applyEntries(section, entries);
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
			clearInterval(tickTimer);
			clearInterval(seedTimer);
			membership.left(Date.now());
			void pushEntries(`hosts/${self.domain}`, [gossip.get(`hosts/${self.domain}`, self.name)!]);
		},
	};
}
