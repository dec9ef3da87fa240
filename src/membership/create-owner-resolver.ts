import {findOwner} from '../decide/membership/find-owner.js';
import {type Member} from '../decide/membership/member.js';
import {type MembershipTask} from './membership-task.js';
import {type OwnerResolver} from './owner-resolver.js';

/** Creates the owner resolver; results are cached until the members change. */
export function createOwnerResolver(membership: MembershipTask): OwnerResolver {
	let cache = new Map<string, Member | undefined>();
	let cachedLiveHosts: readonly Member[] | undefined;
	membership.onChange(() => {
		cache = new Map();
		cachedLiveHosts = undefined;
	});

	const listLiveHosts = (): readonly Member[] => {
		cachedLiveHosts ??= membership.members().filter(member => member.state === 'alive' || member.state === 'suspect');
		return cachedLiveHosts;
	};

	/** Returns the cached owner of `key` in `group`, or selects it from `hosts`. A group is the name of a domain, or `#region` for the region of this host. */
	const resolveOwner = (group: string, key: string, hosts: () => readonly Member[]): Member | undefined => {
		const id = `${group}\n${key}`;
		if (!cache.has(id)) {
			const list = hosts();
			const name = findOwner(list.map(member => member.name), key);
			cache.set(id, list.find(member => member.name === name));
		}

		return cache.get(id);
	};

	return {
		liveHosts: listLiveHosts,
		inDomain: (domain, key) => resolveOwner(domain, key, () => listLiveHosts().filter(member => member.domain === domain)),
		inRegion: key => resolveOwner('#region', key, () => listLiveHosts().filter(member => member.region === membership.self().region)),
		inSystem(key) {
			const domains = [...new Set(listLiveHosts().map(member => member.domain))];
			const domain = findOwner(domains, key);
			return domain === undefined ? undefined : resolveOwner(domain, key, () => listLiveHosts().filter(member => member.domain === domain));
		},
	};
}
