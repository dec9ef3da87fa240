import {type HostBandwidth} from '../membership/host-bandwidth.js';
import {rankOwnersByBandwidth} from '../membership/rank-owners-by-bandwidth.js';

/** Collectors send the collected reports every 200 ms; one from which nothing has arrived for this long is excluded. */
const reportTimeoutMs = 800;
/** Time after which an excluded collector is tried again; it doubles each time, up to `maxExclusionMs`. */
const minExclusionMs = 3000;
const maxExclusionMs = 48_000;

/** Selects the host that collects the reports of a failure domain. Times are in milliseconds. */
type CollectorSelector = {
	/** Returns the collector, chosen among `candidates` and this host. */
	readonly choose: (candidates: readonly HostBandwidth[], now: number) => string;
	/** Records that a host has sent the reports that it collected. */
	readonly recordReport: (host: string, now: number) => void;
};

/** Exclusion of a host that sent nothing while it was the collector. */
type Exclusion = {
	readonly until: number;
	readonly durationMs: number;
};

/**
Creates the selector. Each host chooses for itself, by rendezvous hashing; hosts with high bandwidth come first, and hosts that send nothing
to this one are excluded. A host collects whenever others report to it, so no report is lost when hosts choose different collectors. Load
pattern: dozens of hosts, where reports from every host to every other cost traffic that grows with the square of the number of hosts.
*/
export function createCollectorSelector(self: HostBandwidth, domain: string): CollectorSelector {
	const lastReportAt = new Map<string, number>();
	const exclusions = new Map<string, Exclusion>();
	let current = self.host;
	/** Candidates of the last choice, while none of them was excluded. */
	let rankedCandidates: readonly HostBandwidth[] | undefined;
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
			if (candidates === rankedCandidates && exclusions.size === 0) {
				return current;
			}

			rankedCandidates = exclusions.size === 0 ? candidates : undefined;
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
