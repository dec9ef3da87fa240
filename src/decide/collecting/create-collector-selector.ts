import {type HostBandwidth} from '../membership/host-bandwidth.js';
import {rankOwnersByBandwidth} from '../membership/rank-owners-by-bandwidth.js';

/** A collector sends every 100 ms; one that is not heard for several such times is passed over. */
const reportTimeoutMs = 600;
/** It is then tried again after this long, and after twice as long each further time. */
const minExclusionMs = 3000;
const maxExclusionMs = 48_000;

/** The choice of the host that collects the reports of a failure domain. Times are in milliseconds. */
type CollectorSelector = {
	/** Chooses among `candidates` and this host itself. */
	readonly choose: (candidates: readonly HostBandwidth[], now: number) => string;
	/** Notes that a host has sent what it collected. */
	readonly recordReport: (host: string, now: number) => void;
};

/** What is known of a host that was passed over. */
type Exclusion = {
	readonly until: number;
	readonly durationMs: number;
};

/**
Creates the choice. Every host chooses for itself: by rendezvous among those with a wide link that are not
silent towards this host. A host collects because others report to it, so hosts that choose differently lose nothing. Load
pattern: scores of hosts, where reports from each to each cost the square of the hosts.
*/
export function createCollectorSelector(self: HostBandwidth, domain: string): CollectorSelector {
	const lastReportAt = new Map<string, number>();
	const exclusions = new Map<string, Exclusion>();
	let current = self.host;
	let chosenAt = Number.NEGATIVE_INFINITY;

	const excludeUnresponsive = (now: number): void => {
		if (current === self.host || now - Math.max(chosenAt, lastReportAt.get(current) ?? Number.NEGATIVE_INFINITY) <= reportTimeoutMs) {
			return;
		}

		const previous = exclusions.get(current);
		const durationMs = previous ? Math.min(maxExclusionMs, previous.durationMs * 2) : minExclusionMs;
		exclusions.set(current, {until: now + durationMs, durationMs});
	};

	return {
		choose(candidates, now) {
			excludeUnresponsive(now);
			const eligible = candidates.filter(({host}) => now >= (exclusions.get(host)?.until ?? now));
			const [best] = rankOwnersByBandwidth([...eligible, self], domain);
			if (best !== current) {
				current = best!;
				chosenAt = now;
			}

			return current;
		},
		recordReport(host, now) {
			lastReportAt.set(host, now);
			exclusions.delete(host);
		},
	};
}
