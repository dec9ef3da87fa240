import {type SeenVersion} from '../../streams/seen-version.js';
import {type ReportedLimit} from '../../announcements/reported-limit.js';
import {type CrashReport} from '../../poison/crash-report.js';
import {type DomainReport} from '../../reports/domain-report.js';
import {type HostReport} from '../../reports/host-report.js';
import {type LoadReport} from '../../reports/load-report.js';
import {type UpstreamLoad} from '../../reports/upstream-load.js';
import {mergeReportedPaces} from '../pace/merge-reported-paces.js';
import {mergeReportedLimits} from '../announcements/merge-reported-limits.js';
import {getCrashKey} from '../poison/get-crash-key.js';
import {limitReportedParts} from '../poison/limit-reported-parts.js';
import {poisonLimits} from '../poison/poison-limits.js';
import {applyLoad} from '../forwarding/apply-load.js';
import {type UpstreamLoadTotal} from '../forwarding/upstream-load-total.js';

const {maxReportedParts, maxReportedCondemned} = poisonLimits;
/** Hosts report to a collector every 200 ms; a report counts for several of these intervals. */
const reportValidMs = 700;
/**
A collector keeps sending for this long after it received its last report, so that other hosts also learn that the loads in that report no
longer count.
*/
const collectingTimeoutMs = 1000;

/** Aggregates the reports that this host collects. Times are in milliseconds. */
type LoadAggregator = {
	/** Adds a report, which replaces the last one of the same host. */
	readonly addReport: (report: HostReport, now: number) => void;
	/** Returns whether any host, this one included, has reported here recently. */
	readonly isCollecting: (now: number) => boolean;
	/**
	Sums the loads of the valid reports; it adds no report. The returned function returns the sum, without the loads of `excludedHost` where
	one is given.
	*/
	readonly add: (now: number) => (excludedHost?: string) => LoadReport;
	/** Returns the status of each reporting host, with the age of its report. */
	readonly members: (now: number) => DomainReport['members'];
};

function toLoads(totals: ReadonlyMap<string, UpstreamLoadTotal>): readonly UpstreamLoad[] {
	return [...totals].map(([id, {inFlight, heldTokens, waitingTokens}]) => ({
		id, inFlight, heldTokens, waitingTokens: [...waitingTokens].filter(([, tokens]) => tokens > 0),
	}));
}

/** Concatenates lists and removes duplicate entries. */
function mergeUnique<T extends readonly unknown[]>(lists: ReadonlyArray<readonly T[]>): readonly T[] {
	return [...new Map(lists.flat().map(entry => [entry.join('\n'), entry])).values()];
}

/** Removes duplicate crashes, preferring those that state the parts of the prompt, and limits these. */
function mergeCrashes(crashes: readonly CrashReport[]): readonly CrashReport[] {
	const unique = new Map<string, CrashReport>();
	for (const crash of crashes) {
		const key = getCrashKey(crash);
		if (!unique.get(key)?.[3]) {
			unique.set(key, crash);
		}
	}

	return limitReportedParts([...unique.values()], maxReportedParts);
}

/** Returns the limits of a report with their ages at a later time. */
function ageLimits(limits: readonly ReportedLimit[], ageMs: number): readonly ReportedLimit[] {
	return limits.map(limit => ({...limit, askedAgeMs: limit.askedAgeMs + ageMs, answeredAgeMs: limit.answeredAgeMs + ageMs}));
}

/** Merges the versions that several hosts have seen, each with its least age. */
function mergeVersions(seen: readonly SeenVersion[]): readonly SeenVersion[] {
	const merged = new Map<string, SeenVersion>();
	for (const version of seen) {
		const key = `${version.service}\n${version.version}`;
		const known = merged.get(key);
		merged.set(key, known && known.ageMs <= version.ageMs ? known : version);
	}

	return [...merged.values()];
}

function copyTotals(totals: ReadonlyMap<string, UpstreamLoadTotal>): Map<string, UpstreamLoadTotal> {
	return new Map([...totals].map(([id, total]) => [id, {...total, waitingTokens: new Map(total.waitingTokens)}]));
}

/** Creates the aggregator. */
export function createLoadAggregator(): LoadAggregator {
	const reports = new Map<string, {readonly report: HostReport; readonly at: number}>();

	const removeExpired = (now: number): void => {
		for (const [host, {at}] of reports) {
			if (now - at > collectingTimeoutMs) {
				reports.delete(host);
			}
		}
	};

	return {
		addReport(report, now) {
			reports.set(report.host, {report, at: now});
		},
		isCollecting(now) {
			removeExpired(now);
			return reports.size > 0;
		},
		add(now) {
			const validEntries = [...reports.values()].filter(({at}) => now - at <= reportValidMs);
			const validReports = validEntries.map(({report}) => report);
			const totals = new Map<string, UpstreamLoadTotal>();
			for (const load of validReports.flatMap(report => report.loads)) {
				applyLoad(totals, load, 1);
			}

			const merged = {
				loading: mergeUnique(validReports.map(report => report.loading)),
				weights: mergeUnique(validReports.map(report => report.weights)),
				crashes: mergeCrashes(validReports.flatMap(report => report.crashes)),
				clearedParts: [...new Set(validReports.flatMap(report => report.clearedParts ?? []))].slice(0, maxReportedParts),
				limits: mergeReportedLimits(validEntries.flatMap(({report, at}) => ageLimits(report.limits ?? [], Math.round(now - at)))),
				versions: mergeVersions(validEntries.flatMap(({report, at}) =>
					(report.versions ?? []).map(seen => ({...seen, ageMs: seen.ageMs + Math.round(now - at)})))),
				condemnedParts: validReports.flatMap(report => report.condemnedParts ?? []).slice(0, maxReportedCondemned),
			};
			return excludedHost => {
				const excludedReport = validReports.find(report => report.host === excludedHost);
				const remaining = excludedReport ? copyTotals(totals) : totals;
				for (const load of excludedReport?.loads ?? []) {
					applyLoad(remaining, load, -1);
				}

				const paces = mergeReportedPaces(validReports.flatMap(report => report === excludedReport ? [] : report.paces ?? []));
				return {...merged, loads: toLoads(remaining), ...(paces.length > 0 && {paces})};
			};
		},
		members: now => [...reports.values()].map(({report, at}) => {
			const {
				loads: _loads, loading: _loading, weights: _weights, crashes: _crashes, clearedParts: _cleared, condemnedParts: _condemned, limits: _limits, versions: _versions,
				paces: _paces, ...status
			} = report;
			return {status, ageMs: Math.round(now - at)};
		}),
	};
}
