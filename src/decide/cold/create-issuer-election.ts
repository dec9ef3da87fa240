import {findOwner} from '../membership/find-owner.js';

/** A host that was the issuer by all views of this time may issue; longer than any two hosts disagree on who can be heard. */
const tenureMs = 2000;
/** A process that has not looked for this long may have missed that another host took over: hosts count as gone after 1.2 s, and wait for `tenureMs`. */
const maxGapMs = 1500;
/** A host that was not heard for this long is no member any more, if those that remain are a majority with it. */
const expireAfterMs = 60_000;
/** The same for a host that is in no majority: then more than half of all hosts have been taken away for good. */
const expireInMinorityAfterMs = 600_000;

/** A host of which this one knows. */
type KnownHost = {
	readonly host: string;
	readonly isAlive: boolean;
};

/** A host that counts for a majority. */
type Member = {
	/** When it was last heard, or first known if it never was. */
	at: number;
	wasHeard: boolean;
	/** Whether it counts no more, until it is heard again. */
	isExpired: boolean;
};

/** Who may be heard, from a moment on. */
type View = {
	readonly at: number;
	readonly alive: readonly string[];
	readonly hasMajority: boolean;
};

/** Chooses the host that issues the permits of an upstream. Times are in milliseconds. */
type IssuerElection = {
	/** Records the other hosts that this one knows; to be called several times a second. */
	readonly observe: (others: readonly KnownHost[], now: number) => void;
	/** Returns the issuer for an upstream; `undefined` for a host that hears no majority. */
	readonly findIssuer: (upstreamId: string) => string | undefined;
	/** Returns whether this host may issue permits for an upstream now. */
	readonly mayIssue: (upstreamId: string, now: number) => boolean;
};

/**
Creates the choice of issuers for cold upstreams, by rendezvous among all hosts that are heard, of all failure domains. Fault patterns: any split
of the hosts, of which at most one part is a majority; a host that was frozen or cut off and issues on; a new issuer that begins before the one
before it has ended. Members are forgotten only by a majority, so that a host cut off for long does not become a majority of one.

@param self - Name of this host.
*/
export function createIssuerElection(self: string): IssuerElection {
	const members = new Map<string, Member>();
	/** Oldest first; the oldest one may have begun before the tenure. */
	let views: readonly View[] = [];
	let observedAt: number | undefined;

	const countMembers = (): number => [...members.values()].filter(({isExpired}) => !isExpired).length + 1;

	const updateMembers = (others: readonly KnownHost[], aliveCount: number, now: number): void => {
		for (const {host, isAlive} of others) {
			const member = members.get(host);
			if (!member) {
				members.set(host, {at: now, wasHeard: isAlive, isExpired: false});
			} else if (isAlive) {
				member.at = now;
				member.wasHeard = true;
				member.isExpired = false;
			}
		}

		const hadMajority = aliveCount * 2 > countMembers();
		const known = new Set(others.map(({host}) => host));
		for (const [host, member] of members) {
			// A registration may be that of a host that ended long ago.
			member.isExpired ||= now - member.at > (hadMajority || !member.wasHeard ? expireAfterMs : expireInMinorityAfterMs);
			if (member.isExpired && !known.has(host)) {
				members.delete(host);
			}
		}
	};

	const newest = (): View | undefined => views.at(-1);

	return {
		observe(others, now) {
			if (observedAt !== undefined && now - observedAt > maxGapMs) {
				views = [];
			}

			observedAt = now;
			const alive = [self, ...others.filter(({isAlive}) => isAlive).map(({host}) => host)].toSorted();
			updateMembers(others, alive.length, now);
			const hasMajority = alive.length * 2 > countMembers();
			const last = newest();
			const isSame = last?.hasMajority === hasMajority && last.alive.length === alive.length && last.alive.every((host, index) => host === alive[index]);
			const next = isSame ? views : [...views, {at: now, alive, hasMajority}];
			views = next.filter((_view, index) => index === next.length - 1 || next[index + 1]!.at > now - tenureMs);
		},
		findIssuer(upstreamId) {
			const view = newest();
			return view?.hasMajority ? findOwner(view.alive, upstreamId) : undefined;
		},
		mayIssue: (upstreamId, now) => views.length > 0 && views[0]!.at <= now - tenureMs && observedAt !== undefined && now - observedAt <= maxGapMs
			&& views.every(({alive, hasMajority}) => hasMajority && findOwner(alive, upstreamId) === self),
	};
}
