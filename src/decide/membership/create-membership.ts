import {type GossipEntry} from './gossip-entry.js';
import {type GossipTable} from './gossip-table.js';
import {type HostState} from './host-state.js';
import {type HostDescriptor} from './host-descriptor.js';
import {type Member} from './member.js';
import {type MembershipAction} from './membership-action.js';
import {type Membership} from './membership.js';

/** Parameters of the membership protocol. Times are in milliseconds. */
type MembershipOptions = {
	/** How long a host is suspected before it is declared dead. */
	readonly suspicionMs?: number;
	/** Number of hosts of the own domain probed at each tick. */
	readonly probes?: number;
	/** Number of hosts of each domain that also probe, and thereby gossip with, hosts of other domains. */
	readonly relays?: number;
	readonly random: () => number;
};

/** How long entries of hosts that are dead or have left are kept. */
const deadRetentionMs = 600_000;
/** Number of hosts asked to probe a host that did not answer directly. */
const helperCount = 2;
/** Interval, in ticks, at which one dead host is probed, so that the two sides of a healed partition find each other. */
const deadProbeTicks = 3;
/** Precedence of the states at the same incarnation. */
const stateRanks: Readonly<Record<HostState, number>> = {
	alive: 0, leaving: 1, suspect: 2, dead: 3, left: 4,
};
/** Step between incarnations in the version of an entry; larger than any state rank. */
const versionsPerIncarnation = 8;

/**
Creates the membership protocol of one host, after SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002): direct probes, indirect probes, and suspicion that the suspect
refutes with a higher incarnation. Entries spread through the gossip table, with one section for each domain.
*/
export function createMembership(self: Member, gossip: GossipTable, now: number, options: MembershipOptions): Membership {
	const {suspicionMs = 3000, probes = 2, relays = 2, random} = options;
	const suspectSince = new Map<string, number>();
	let own = self;
	let lastTick = now;
	let nextProbeIndex = 0;
	let tickCount = 0;

	const getSection = (domain: string): string => `hosts/${domain}`;

	const toEntry = ({name, ...value}: Member, at: number): GossipEntry => ({
		id: name,
		version: (value.incarnation * versionsPerIncarnation) + stateRanks[value.state],
		value,
		...(value.state === 'dead' || value.state === 'left' ? {expiresAt: at + deadRetentionMs} : {}),
	});

	const storeMember = (member: Member, at: number): void => {
		gossip.merge(getSection(member.domain), [toEntry(member, at)], at);
	};

	const listMembers = (at: number): readonly Member[] => Object.keys(gossip.vector(at))
		.filter(section => section.startsWith('hosts/'))
		.flatMap(section => gossip.entries(section, at))
		.map(entry => ({name: entry.id, ...entry.value as HostDescriptor}))
		.toSorted((a, b) => a.name < b.name ? -1 : 1);

	const findMember = (name: string, at: number): Member | undefined => listMembers(at).find(member => member.name === name);

	const createChangedAction = (at: number): MembershipAction => ({kind: 'changed', members: listMembers(at)});

	const isUp = (member: Member): boolean => member.state !== 'dead' && member.state !== 'left';

	const pickRandom = <T>(items: readonly T[], count: number): readonly T[] => {
		const rest = [...items];
		const picked: T[] = [];
		while (picked.length < count && rest.length > 0) {
			picked.push(...rest.splice(Math.floor(random() * rest.length), 1));
		}

		return picked;
	};

	/** Picks hosts of the own domain in turn, at some ticks a dead host, and on a relay one host of another domain. */
	const pickProbeTargets = (at: number): readonly Member[] => {
		const others = listMembers(at).filter(member => isUp(member) && member.name !== own.name);
		const sameDomain = others.filter(member => member.domain === own.domain);
		const targets = Array.from({length: Math.min(probes, sameDomain.length)}, (_, index) =>
			sameDomain[(nextProbeIndex + index) % sameDomain.length]!);
		nextProbeIndex += targets.length;
		if (tickCount % deadProbeTicks === 0) {
			const dead = listMembers(at).filter(member => member.state === 'dead' && member.name !== own.name);
			targets.push(...pickRandom(dead, 1));
		}

		const relayNames = [own, ...sameDomain].filter(member => member.state === 'alive').map(member => member.name).toSorted().slice(0, relays);
		if (relayNames.includes(own.name)) {
			const domains = [...new Set(others.map(member => member.domain))].filter(domain => domain !== own.domain);
			const [domain] = pickRandom(domains, 1);
			return [...targets, ...pickRandom(others.filter(member => member.domain === domain), 1)];
		}

		return targets;
	};

	/** Declares hosts dead whose suspicion has reached the timeout; returns whether there were any. */
	const expireSuspicions = (at: number): boolean => {
		let hasExpired = false;
		for (const [name, since] of suspectSince) {
			const member = findMember(name, at);
			if (member?.state !== 'suspect') {
				suspectSince.delete(name);
			} else if (at - since >= suspicionMs) {
				storeMember({...member, state: 'dead'}, at);
				suspectSince.delete(name);
				hasExpired = true;
			}
		}

		return hasExpired;
	};

	const rejoinWithNewIncarnation = (at: number): void => {
		own = {...own, incarnation: Math.max(at, own.incarnation + 1)};
		storeMember(own, at);
	};

	storeMember(own, now);
	return {
		members: listMembers,
		self: () => own,
		tick(at) {
			const pausedMs = at - lastTick;
			lastTick = at;
			tickCount++;
			// During a pause of at least the suspicion timeout, peers may have declared this host dead, and its own suspicions are out of date.
			if (pausedMs >= suspicionMs) {
				suspectSince.clear();
				rejoinWithNewIncarnation(at);
				return [{kind: 'long-pause', pausedMs}, createChangedAction(at)];
			}

			const hasExpired = expireSuspicions(at);
			const probeActions = pickProbeTargets(at).map(target => ({kind: 'probe', target}) as const);
			return hasExpired ? [createChangedAction(at), ...probeActions] : probeActions;
		},
		onProbeFailed(name, at) {
			const target = findMember(name, at);
			if (!target || !isUp(target)) {
				return [];
			}

			const helpers = listMembers(at).filter(member =>
				member.domain === target.domain && member.name !== name && member.name !== own.name && isUp(member));
			return [{kind: 'probe-through', target, helpers: pickRandom(helpers, helperCount)}];
		},
		onUnreachable(name, at) {
			const member = findMember(name, at);
			// Only hosts of the same domain suspect a host, so that a partition between domains doesn't declare a whole domain dead.
			if (member?.domain !== own.domain || !isUp(member) || member.state === 'suspect') {
				return [];
			}

			storeMember({...member, state: 'suspect'}, at);
			suspectSince.set(name, at);
			return [createChangedAction(at)];
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
			const accepted = gossip.merge(section, entries, at);
			if (accepted.length === 0 || !section.startsWith('hosts/')) {
				return [];
			}

			for (const entry of accepted) {
				if ((entry.value as HostDescriptor).state === 'suspect') {
					suspectSince.set(entry.id, at);
				}
			}

			// Refutes a wrong state of this host with a higher incarnation.
			const ownEntry = gossip.get(getSection(own.domain), own.name)!;
			const {incarnation, state} = ownEntry.value as HostDescriptor;
			if (incarnation > own.incarnation || state !== own.state) {
				own = {...own, incarnation: Math.max(at, incarnation + 1)};
				storeMember(own, at);
			}

			return [createChangedAction(at)];
		},
		leave(at) {
			own = {...own, state: 'leaving'};
			storeMember(own, at);
			return [createChangedAction(at)];
		},
		left(at) {
			own = {...own, state: 'left'};
			storeMember(own, at);
		},
	};
}
