import {createUnreportedWorkEstimator} from '../decide/forwarding/create-unreported-work-estimator.js';
import {computePaceChance} from '../decide/pace/compute-pace-chance.js';
import {createLatencyBaseline} from '../decide/pace/create-latency-baseline.js';
import {createUpstreamPace} from '../decide/pace/create-upstream-pace.js';
import {type PaceSettings} from '../decide/pace/pace-settings.js';
import {type UpstreamPace} from '../decide/pace/upstream-pace.js';
import {type Upstream} from '../forwarding/upstream.js';
import {log} from '../observe/log.js';
import {memoize} from '../util/memoize.js';
import {type UpstreamPaces} from './upstream-paces.js';

/** A limit that is no longer below the slots is reported for this long, so that all hosts learn of it. */
const reportWarmMs = 2000;
/** Limits in one report; those that changed last go first. */
const maxReported = 64;
/** Setbacks of one upstream are logged at most this often. */
const logEveryMs = 1000;
/**
Shortest time that an answer of a warm upstream is taken to need, in milliseconds. Answers of 1 to 2 ms vary by more than `slowFactor` with this process's own
work, which made warm upstreams look slow.
*/
const minNormalMs = 25;
/** Upstreams that state no slots count as having one, which says nothing of what they can take. */
const minSlots = 2;

/** What changes a limit. */
type PaceCause = 'started' | 'answers' | 'failure' | 'lost' | 'time' | 'reported';

/** Dependencies of the limits. */
type UpstreamPacesOptions = {
	readonly settings: PaceSettings;
	/** Whether requests to an upstream are limited by its answers. */
	readonly isPaced: (upstream: Upstream) => boolean;
	/** Whether the entry of an upstream states that it is cold. */
	readonly isCold: (upstream: Upstream) => boolean;
	/** Returns the number of other hosts that place requests, and the mean age of their reports in milliseconds. */
	readonly others: () => {readonly count: number; readonly reportAgeMs: number};
	readonly onSetback: (service: string, cause: PaceCause) => void;
	/** Called when a request goes elsewhere since the limit leaves no room for it. */
	readonly onTurnedAway: (service: string) => void;
	/** Returns for how long this process has run without standing still, in milliseconds. */
	readonly runningForMs: () => number;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
	readonly random: () => number;
};

/** One start of an upstream. */
type Entry = {
	upstream: Upstream;
	/** Set while requests to it are limited by its answers. */
	pace: UpstreamPace | undefined;
	/** Choices of this upstream by this host while it was limited. */
	readonly choices: ReturnType<typeof createUnreportedWorkEstimator>;
	loggedAt: number;
	/** Whether neither this host can reach it nor another one has anything in flight there. */
	isDark: boolean;
	/** Until when the state is reported though the upstream is warm, since another host knows an older one. */
	dueUntil: number;
};

/** Creates the limits on the requests in flight at each upstream, which this host and the others derive together from answers. */
export function createUpstreamPaces({settings, isPaced, isCold, others, onSetback, onTurnedAway, runningForMs, now, random}: UpstreamPacesOptions): UpstreamPaces {
	const entries = new Map<string, Entry>();
	/** Requests that this host has sent to each service. */
	const sentOf = memoize((_service: string) => createUnreportedWorkEstimator());
	const baselineOf = memoize((_service: string) => createLatencyBaseline());

	const logLimit = ({upstream}: Entry, pace: UpstreamPace, cause: PaceCause): void => {
		const {limit, setbacks} = pace.state();
		log.info({
			upstream: upstream.id, startedAt: upstream.startedAt, service: upstream.service, limit, slots: upstream.slots, setbacks, cause,
		}, pace.isLimited() ? 'requests in flight at the upstream are limited' : 'upstream is warm, its limit has ended');
	};

	const createPace = (upstream: Upstream, hasStarted: boolean): UpstreamPace => createUpstreamPace({
		slots: upstream.slots, hasStarted, settings, now: now(),
	});

	/** Returns the limit of an upstream that has one. An upstream that is limited from a change of the configuration on counts as warm. */
	const findPace = (entry: Entry): UpstreamPace | undefined => {
		const isLimitable = entry.upstream.slots >= minSlots && isPaced(entry.upstream);
		entry.pace = isLimitable ? entry.pace ?? createPace(entry.upstream, false) : undefined;
		return entry.pace;
	};

	/** Runs what may change a limit, logs and counts the change. */
	const change = (entry: Entry, pace: UpstreamPace, cause: PaceCause, run: () => void): void => {
		const before = {isLimited: pace.isLimited(), setbacks: pace.state().setbacks};
		run();
		const hasFallen = pace.state().setbacks > before.setbacks;
		if (hasFallen) {
			onSetback(entry.upstream.service, cause);
		}

		if (pace.isLimited() !== before.isLimited || (hasFallen && now() - entry.loggedAt >= logEveryMs)) {
			entry.loggedAt = now();
			logLimit(entry, pace, cause);
		}
	};

	/**
	Where others have requests in flight, only this host's links are lost. Otherwise the upstream is dark, as a whole failure domain may be, and starts over when it comes back.
	Recorded once, since a host that is cut off for long would keep the limit low for all.
	*/
	const reviewLost = (entry: Entry, pace: UpstreamPace, inFlight: number): void => {
		if (inFlight === 0 && !entry.isDark) {
			entry.isDark = true;
			change(entry, pace, 'lost', () => {
				pace.recordFailure({sentAt: now(), isLost: true}, now());
			});
		}
	};

	const countLimited = (): ReadonlyMap<string, number> => {
		const counts = new Map<string, number>();
		for (const {upstream: {service}, pace} of entries.values()) {
			counts.set(service, (counts.get(service) ?? 0) + (pace?.isLimited() ? 1 : 0));
		}

		return counts;
	};

	/**
	Returns how often other hosts may have chosen a limited upstream since their reports: as often as this one, and at least as if all requests of the service
	chose one of the limited upstreams, whose queues are the shortest. By its own choices alone, 8 and 60 hosts sent 13 to 16 requests at once where 4 were allowed.
	*/
	const estimateUnreported = ({upstream: {service}, choices}: Entry): number => {
		const {count, reportAgeMs} = others();
		const byChoices = choices.estimatePerUpstreamMs({otherHosts: count, reportAgeMs, upstreams: 1}, now());
		const limited = countLimited().get(service) ?? 1;
		return Math.max(byChoices, sentOf(service).estimatePerUpstreamMs({otherHosts: count, reportAgeMs, upstreams: limited}, now()));
	};

	const isDue = ({dueUntil}: Entry, pace: UpstreamPace): boolean => pace.isLimited() || now() < Math.max(dueUntil, pace.changedAt() + reportWarmMs);

	return {
		add(upstream, hasStarted) {
			const entry: Entry = {
				upstream, pace: undefined, choices: createUnreportedWorkEstimator(), loggedAt: Number.NEGATIVE_INFINITY, isDark: false, dueUntil: Number.NEGATIVE_INFINITY,
			};
			entries.set(upstream.id, entry);
			if (upstream.slots >= minSlots && isPaced(upstream)) {
				entry.pace = createPace(upstream, hasStarted || isCold(upstream));
				if (entry.pace.isLimited()) {
					logLimit(entry, entry.pace, 'started');
				}
			}
		},
		update(upstream) {
			const entry = entries.get(upstream.id);
			if (entry) {
				entry.upstream = upstream;
				findPace(entry)?.setSlots(upstream.slots);
			}
		},
		remove(id) {
			entries.delete(id);
		},
		view(id, load) {
			const entry = entries.get(id);
			const pace = entry && findPace(entry);
			if (!entry || !pace) {
				return undefined;
			}

			if (!load.isReachable) {
				reviewLost(entry, pace, load.inFlight);
			} else if (entry.isDark) {
				// Back; the quiet time before says nothing.
				entry.isDark = false;
				pace.recordFailure({sentAt: Number.NEGATIVE_INFINITY, isLost: false}, now());
			} else if (pace.isLimited()) {
				change(entry, pace, 'time', () => {
					pace.review(load, now());
				});
			}

			return {limit: pace.state().limit, isLimited: pace.isLimited()};
		},
		tryTake(id, {limit, inFlight}) {
			const entry = entries.get(id);
			if (!entry) {
				return true;
			}

			entry.choices.record(1, now());
			const unreported = estimateUnreported(entry);
			const isTaken = random() < computePaceChance({limit, inFlight, unreported});
			if (!isTaken) {
				onTurnedAway(entry.upstream.service);
			}

			return isTaken;
		},
		track(id, {expectedMs, inFlight}) {
			const sentAt = now();
			const entry = entries.get(id);
			if (entry && findPace(entry)) {
				sentOf(entry.upstream.service).record(1, sentAt);
			}

			const record = (cause: PaceCause, run: (pace: UpstreamPace) => void): void => {
				const pace = entry && findPace(entry);
				if (pace) {
					change(entry, pace, cause, () => {
						run(pace);
					});
				}
			};

			const recordFailure = (isLost: boolean): void => {
				record('failure', pace => {
					pace.recordFailure({sentAt, isLost}, now());
				});
			};

			return {
				recordHead(isFailure) {
					if (isFailure) {
						recordFailure(false);
						return;
					}

					record('answers', pace => {
						const tookMs = now() - sentAt;
						// An answer that waited for this process says nothing of the upstream.
						if (expectedMs === undefined || runningForMs() < tookMs) {
							return;
						}

						const baseline = baselineOf(entry!.upstream.service);
						if (!pace.isLimited()) {
							baseline.record(tookMs / Math.max(1, expectedMs));
						}

						const normalMs = Math.max(minNormalMs, expectedMs * baseline.median());
						pace.recordAnswer({sentAt, ratio: tookMs / normalMs, inFlight}, now());
					});
				},
				recordFailure,
			};
		},
		listReported() {
			const due = [...entries.values()].flatMap(entry => {
				const pace = findPace(entry);
				return pace && isDue(entry, pace) ? [{upstream: entry.upstream, pace}] : [];
			});
			return due.length === 0
				? undefined
				: due
					.toSorted((a, b) => b.pace.changedAt() - a.pace.changedAt())
					.slice(0, maxReported)
					.map(({upstream: {id, startedAt}, pace}) => ({id, startedAt, ...pace.report()}));
		},
		recordReported(source, reported) {
			for (const report of reported) {
				const entry = entries.get(report.id);
				const pace = entry?.upstream.startedAt === report.startedAt && entry && findPace(entry);
				if (entry && pace) {
					entry.dueUntil = report.setbacks < pace.state().setbacks ? now() + reportWarmMs : entry.dueUntil;
					change(entry, pace, 'reported', () => {
						pace.recordReported(source, report, now());
					});
				}
			}
		},
		countLimited,
	};
}
