import {type HostBandwidth} from '../membership/host-bandwidth.js';
import {rankOwnersByBandwidth} from '../membership/rank-owners-by-bandwidth.js';

/** A collector sends every 100 ms; one that is not heard for several such times is passed over. */
const silentMs = 600;
/** It is then tried again after this long, and after twice as long each further time. */
const firstPassedOverMs = 3000;
const mostPassedOverMs = 48_000;

/** The choice of the host that collects the reports of a failure domain. Times are in milliseconds. */
type CollectorSelector = {
	/** Chooses among `candidates` and this host itself. */
	readonly choose: (candidates: readonly HostBandwidth[], now: number) => string;
	/** Notes that a host has sent what it collected. */
	readonly recordReport: (host: string, now: number) => void;
};

/** What is known of a host that was passed over. */
type PassedOver = {
	readonly untilMs: number;
	readonly forMs: number;
};

/**
Creates the choice. Every host chooses for itself: by rendezvous among those with a wide link that are not
silent towards this host. A host collects because others report to it, so hosts that choose differently lose nothing. Load
pattern: scores of hosts, where reports from each to each cost the square of the hosts.
*/
export function createCollectorSelector(self: HostBandwidth, domain: string): CollectorSelector {
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
			const [best] = rankOwnersByBandwidth([...open, self], domain);
			if (best !== current) {
				current = best!;
				since = now;
			}

			return current;
		},
		recordReport(host, now) {
			heardAt.set(host, now);
			passedOver.delete(host);
		},
	};
}
