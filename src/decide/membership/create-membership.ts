import {type GossipEntry} from './gossip-entry.js';
import {type GossipTable} from './gossip-table.js';
import {type HostState} from './host-state.js';
import {type HostDescriptor} from './host-descriptor.js';
import {type Member} from './member.js';
import {type MembershipAction} from './membership-action.js';
import {type Membership} from './membership.js';

/** Numbers of the membership protocol. Times are in milliseconds. */
type MembershipOptions = {
	readonly suspicionMs?: number;
	/** Hosts of the own domain probed at each tick. */
	readonly probes?: number;
	/** Hosts of each domain that exchange summaries with other domains. */
	readonly relays?: number;
	readonly random: () => number;
};

const forgetMs = 600_000;
const helperCount = 2;
/** Every so many ticks a host held for dead is probed, so that the two sides of a healed cut find each other. */
const deadProbeTicks = 3;
const ranks: Readonly<Record<HostState, number>> = {
	alive: 0, leaving: 1, suspect: 2, dead: 3, left: 4,
};
const rankCount = 8;

/**
Creates the membership decisions of one host, after the SWIM protocol (Das, Gupta, Motivala: "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", 2002): probes, indirect probes, suspicion that
the suspect refutes with a higher incarnation. Entries spread through the gossip table, one section a domain.
*/
export function createMembership(self: Member, gossip: GossipTable, now: number, options: MembershipOptions): Membership {
	const {suspicionMs = 3000, probes = 2, relays = 2, random} = options;
	const suspectSince = new Map<string, number>();
	let own = self;
	let lastTick = now;
	let nextProbe = 0;
	let tickCount = 0;

	const sectionOf = (domain: string): string => `hosts/${domain}`;

	const toEntry = ({name, ...value}: Member, at: number): GossipEntry => ({
		id: name,
		version: (value.incarnation * rankCount) + ranks[value.state],
		value,
		...(value.state === 'dead' || value.state === 'left' ? {expiresAt: at + forgetMs} : {}),
	});

	const put = (member: Member, at: number): void => {
		gossip.merge(sectionOf(member.domain), [toEntry(member, at)], at);
	};

	const list = (at: number): readonly Member[] => Object.keys(gossip.vector(at))
		.filter(section => section.startsWith('hosts/'))
		.flatMap(section => gossip.entries(section, at))
		.map(entry => ({name: entry.id, ...entry.value as HostDescriptor}))
		.toSorted((a, b) => a.name < b.name ? -1 : 1);

	const findMember = (name: string, at: number): Member | undefined => list(at).find(member => member.name === name);

	const changed = (at: number): MembershipAction => ({kind: 'changed', members: list(at)});

	const isUp = (member: Member): boolean => member.state !== 'dead' && member.state !== 'left';

	const pick = <T>(items: readonly T[], count: number): readonly T[] => {
		const rest = [...items];
		const picked: T[] = [];
		while (picked.length < count && rest.length > 0) {
			picked.push(...rest.splice(Math.floor(random() * rest.length), 1));
		}

		return picked;
	};

	const pickTargets = (at: number): readonly Member[] => {
		const others = list(at).filter(member => isUp(member) && member.name !== own.name);
		const near = others.filter(member => member.domain === own.domain);
		const targets = Array.from({length: Math.min(probes, near.length)}, (_, index) => near[(nextProbe + index) % near.length]!);
		nextProbe += targets.length;
		if (tickCount % deadProbeTicks === 0) {
			const dead = list(at).filter(member => member.state === 'dead' && member.name !== own.name);
			targets.push(...pick(dead, 1));
		}

		const relayNames = [own, ...near].filter(member => member.state === 'alive').map(member => member.name).toSorted().slice(0, relays);
		if (relayNames.includes(own.name)) {
			const domains = [...new Set(others.map(member => member.domain))].filter(domain => domain !== own.domain);
			const [domain] = pick(domains, 1);
			return [...targets, ...pick(others.filter(member => member.domain === domain), 1)];
		}

		return targets;
	};

	const endSuspicions = (at: number): boolean => {
		let ended = false;
		for (const [name, since] of suspectSince) {
			const member = findMember(name, at);
			if (member?.state !== 'suspect') {
				suspectSince.delete(name);
			} else if (at - since >= suspicionMs) {
				put({...member, state: 'dead'}, at);
				suspectSince.delete(name);
				ended = true;
			}
		}

		return ended;
	};

	const rejoin = (at: number): void => {
		own = {...own, incarnation: Math.max(at, own.incarnation + 1)};
		put(own, at);
	};

	put(own, now);
	return {
		members: list,
		self: () => own,
		tick(at) {
			const pausedMs = at - lastTick;
			lastTick = at;
			tickCount++;
			if (pausedMs >= suspicionMs) {
				suspectSince.clear();
				rejoin(at);
				return [{kind: 'frozen', pausedMs}, changed(at)];
			}

			const ended = endSuspicions(at);
			const probesNow = pickTargets(at).map(target => ({kind: 'probe', target}) as const);
			return ended ? [changed(at), ...probesNow] : probesNow;
		},
		onProbeFailed(name, at) {
			const target = findMember(name, at);
			if (!target || !isUp(target)) {
				return [];
			}

			const helpers = list(at).filter(member =>
				member.domain === target.domain && member.name !== name && member.name !== own.name && isUp(member));
			return [{kind: 'probe-through', target, helpers: pick(helpers, helperCount)}];
		},
		onUnreachable(name, at) {
			const member = findMember(name, at);
			// Only hosts of the same domain judge; a host behind a cut between domains is judged by its neighbours.
			if (member?.domain !== own.domain || !isUp(member) || member.state === 'suspect') {
				return [];
			}

			put({...member, state: 'suspect'}, at);
			suspectSince.set(name, at);
			return [changed(at)];
		},
		onAnswered(name, at) {
			const member = findMember(name, at);
			if (member?.state !== 'suspect' || !suspectSince.has(name)) {
				return [];
			}

			suspectSince.set(name, at);
			return [];
		},
		onEntries(section, entries, at) {
			const taken = gossip.merge(section, entries, at);
			if (taken.length === 0 || !section.startsWith('hosts/')) {
				return [];
			}

			for (const entry of taken) {
				if ((entry.value as HostDescriptor).state === 'suspect') {
					suspectSince.set(entry.id, at);
				}
			}

			const said = gossip.get(sectionOf(own.domain), own.name)!;
			const {incarnation, state} = said.value as HostDescriptor;
			if (incarnation > own.incarnation || state !== own.state) {
				own = {...own, incarnation: Math.max(at, incarnation + 1)};
				put(own, at);
			}

			return [changed(at)];
		},
		leave(at) {
			own = {...own, state: 'leaving'};
			put(own, at);
			return [changed(at)];
		},
		left(at) {
			own = {...own, state: 'left'};
			put(own, at);
		},
	};
}
