import {isWideAmong} from '../membership/is-wide-among.js';
import {rankOwners} from '../membership/rank-owners.js';

/** A collector sends every 100 ms; one that is not heard for several such times is passed over. */
const silentMs = 600;
/** It is then tried again after this long, and after twice as long each further time. */
const firstPassedOverMs = 3000;
const mostPassedOverMs = 48_000;

/** A host that may collect reports. */
type Candidate = {
	readonly host: string;
	readonly linkMbps: number;
};

/** The choice of the host that collects the reports of a failure domain. Times are in milliseconds. */
type CollectorChoice = {
	/** Chooses among `candidates` and this host itself. */
	readonly choose: (candidates: readonly Candidate[], now: number) => string;
	/** Notes that a host has sent what it collected. */
	readonly noteHeard: (host: string, now: number) => void;
};

/** What is known of a host that was passed over. */
type PassedOver = {
	readonly untilMs: number;
	readonly forMs: number;
};

/** Orders hosts: those with a wide link first, then the same on every host by rendezvous. */
function rank(candidates: readonly Candidate[], domain: string): readonly string[] {
	const isWide = isWideAmong(candidates);
	const hosts = (areWide: boolean): readonly string[] =>
		rankOwners(candidates.filter(candidate => isWide(candidate) === areWide).map(candidate => candidate.host), domain);
	return [...hosts(true), ...hosts(false)];
}

/**
Creates the choice. Every host chooses for itself: by rendezvous among those with a wide link that are not
silent towards this host. A host collects because others report to it, so hosts that choose differently lose nothing. Load
pattern: scores of hosts, where reports from each to each cost the square of the hosts.
*/
export function createCollectorChoice(self: Candidate, domain: string): CollectorChoice {
	const heardAt = new Map<string, number>();
	const passedOver = new Map<string, PassedOver>();
	let current = self.host;
	let since = Number.NEGATIVE_INFINITY;

	const passOverSilent = (now: number): void => {
		if (current === self.host || now - Math.max(since, heardAt.get(current) ?? Number.NEGATIVE_INFINITY) <= silentMs) {
			return;
		}

		const before = passedOver.get(current);
		const forMs = before ? Math.min(mostPassedOverMs, before.forMs * 2) : firstPassedOverMs;
		passedOver.set(current, {untilMs: now + forMs, forMs});
	};

	return {
		choose(candidates, now) {
			passOverSilent(now);
			const open = candidates.filter(({host}) => now >= (passedOver.get(host)?.untilMs ?? now));
			const [best] = rank([...open, self], domain);
			if (best !== current) {
				current = best!;
				since = now;
			}

			return current;
		},
		noteHeard(host, now) {
			heardAt.set(host, now);
			passedOver.delete(host);
		},
	};
}
