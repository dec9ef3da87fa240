import {buildExpectedChunks} from './build-expected-chunks.js';
import {crashMarks} from './crash-marks.js';
import {
	type Call, type SoakHistory, type UpstreamRun,
} from './soak-history.js';

/** Time bounds of the guarantees in milliseconds, which follow from the platform's figures. */
const timeBoundsMs = {
	contact: 3000, drain: 2000, apply: 2000, grace: 8000, recovery: 12_000, retryWindow: 10_000,
} as const;
/** Of the routes that allow most. */
const maxAttempts = 2;
const retryRatio = 0.2;
const retrySlack = 20;
/** Statuses that mean that a request has not run and will not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const workspaceOf: Readonly<Record<string, string>> = {'key-1': 'acme', 'key-2': 'acme'};
const plannedFaultKinds: ReadonlySet<string> = new Set(['host stops', 'host reads settings', 'configuration changes', 'upstream is replaced', 'weights are named']);
const minServedShare = 0.25;
/** Crashes of one request, and its later sends once all hosts can know of them. */
const maxCrashes = 3;
const maxSendsAfterCrashes = 3;
const crashesToKnowPart = 5;
const minSoundCalls = 20;
const msPerS = 1000;
/** Bound on the requests to an upstream that states a limit. */
const limitWindowMs = 4000;
const limitFactor = 1.5;
const limitSlack = 5;
/** Requests that may reach an upstream from a host while it rests from it, from a time after it asked on. */
const maxDuringRest = 2;
const restNoticeMs = 500;
/** Bounds on what callers of a host get that is cut off from upstreams, against the others. */
const minCutShare = 2 / 3;
const maxCutFailures = 10;
const maxCutFailureShare = 0.02;
const minCutCalls = 20;

type Check = (history: SoakHistory, runsOf: ReadonlyMap<string, readonly UpstreamRun[]>) => readonly string[];

/** Returns whether only planned operations disturbed the scopes between `from` and `until`. */
function isUndisturbed({disturbances}: SoakHistory, scopes: readonly string[], from: number, until: number): boolean {
	return !disturbances.some(each => !plannedFaultKinds.has(each.kind) && scopes.includes(each.scope) && each.until >= from && each.from <= until);
}

const isRepeatable = ({target}: Call): boolean => !target.startsWith('/book/');

const findRepeatedBookings: Check = ({calls}, runsOf) => calls
	.filter(call => !isRepeatable(call) && (runsOf.get(call.id)?.length ?? 0) > 1)
	.map(call => `twice: ${call.id} ran at ${runsOf.get(call.id)!.map(run => run.upstream).join(', ')}`);

const findRefusedRuns: Check = ({calls}, runsOf) => calls
	.filter(call => !isRepeatable(call) && notRunStatuses.has(call.status) && runsOf.has(call.id))
	.map(call => `refused: ${call.id} was answered ${call.status} but ran`);

const findMixedResponses: Check = ({calls}, runsOf) => calls.flatMap(call => {
	if (call.status !== 200) {
		return [];
	}

	const expected = buildExpectedChunks(call.resumed?.begunBy ?? call.id, call.target).slice(call.resumed ? call.resumed.after + 1 : 0).join('');
	const isRight = call.isWhole ? call.text === expected : expected.startsWith(call.text);
	const isSealed = (runsOf.get(call.id) ?? []).some(run => run.seal === call.seal);
	return isRight && isSealed ? [] : [`mixed: ${call.id} got ${JSON.stringify(call.text.slice(0, 200))} with seal ${call.seal}`];
});

const findUnrequestedRuns: Check = ({calls, runs}) => {
	const byId = new Map(calls.map(call => [call.id, call]));
	return runs.filter(run => {
		const call = byId.get(run.id);
		return run.target !== call?.target || run.body !== call.body || run.workspace !== workspaceOf[call.key] || run.hasKey;
	}).map(run => `unasked: ${run.id} ran at ${run.upstream} for ${run.workspace} as ${run.target}`);
};

const findRunsAfterDrain: Check = history => history.changes.filter(change => change.kind === 'leaving').flatMap(change => {
	const hosts = new Map(history.calls.map(call => [call.id, call.host]));
	return history.runs.filter(run => run.upstream === change.what && run.at > change.at + timeBoundsMs.drain
		&& isUndisturbed(history, ['store', `host ${hosts.get(run.id)}`], change.at - timeBoundsMs.contact, run.at))
		.map(run => `drain: ${run.id} reached ${run.upstream} ${Math.round(run.at - change.at)} ms after it was marked as leaving`);
});

const findStaleConfigurationUse: Check = (history, runsOf) => history.calls.filter(call => call.kind === 'extra').flatMap(call => {
	const last = history.changes.findLast(change => (change.kind === 'added' || change.kind === 'removed') && change.at <= call.sentAt);
	const next = history.changes.find(change => (change.kind === 'added' || change.kind === 'removed') && change.at > call.sentAt);
	const isDue = last && call.sentAt >= last.at + timeBoundsMs.apply && call.endedAt < (next?.at ?? Number.POSITIVE_INFINITY);
	if (!isDue || !isUndisturbed(history, ['store', `host ${call.host}`], last.at - timeBoundsMs.contact, call.endedAt)) {
		return [];
	}

	const isWrong = last.kind === 'added' ? call.status === 404 : runsOf.has(call.id);
	return isWrong ? [`configuration: ${call.id} got status ${call.status} ${Math.round(call.sentAt - last.at)} ms after its route was ${last.kind}`] : [];
});

const findLostResponses: Check = (history, runsOf) => {
	const upstreams = [...new Set(history.runs.map(run => `upstream ${run.upstream}`))];
	return history.calls.filter(call => !call.isWhole && !call.hasLeft && runsOf.has(call.id)
		&& isUndisturbed(history, ['store', `host ${call.host}`, `links of ${call.host}`, ...upstreams], call.sentAt - timeBoundsMs.contact, call.endedAt))
		.map(call => `lost: ${call.id} at ${call.host} ended with status ${call.status} and ${call.text.length} bytes`);
};

const findRetryBudgetExcess: Check = ({calls, runs}) => {
	const seen = new Set<string>();
	const repeats = runs.filter(run => {
		const isRepeat = seen.has(run.id);
		seen.add(run.id);
		return isRepeat;
	});
	return repeats.flatMap(({at}) => {
		const from = at - timeBoundsMs.retryWindow;
		const requests = calls.filter(call => call.sentAt > from && call.sentAt <= at).length;
		const count = repeats.filter(run => run.at > from && run.at <= at).length;
		return count > (requests * retryRatio) + retrySlack ? [`budget: ${count} retries for ${requests} requests in the window until ${Math.round(at)}`] : [];
	}).slice(0, 1);
};

/** The routes of the soak state how many upstreams may run a request, over all hosts that it passes. */
const findRunsBeyondRoute: Check = ({calls}, runsOf) => calls.flatMap(({id}) => {
	const upstreams = new Set((runsOf.get(id) ?? []).map(({upstream}) => upstream));
	return upstreams.size > maxAttempts ? [`attempts: ${id} ran at ${[...upstreams].join(', ')}`] : [];
});

const findCrashingRequestsSentAgain: Check = history => {
	const hosts = new Map(history.calls.map(call => [call.id, call.host]));
	const runsOfTarget = new Map<string, UpstreamRun[]>();
	for (const run of history.runs.filter(({target}) => target.includes(crashMarks.any))) {
		runsOfTarget.set(run.target, [...runsOfTarget.get(run.target) ?? [], run]);
	}

	return [...runsOfTarget].flatMap(([target, runs]) => {
		const knownAt = (runs[maxCrashes - 1]?.at ?? Number.POSITIVE_INFINITY) + timeBoundsMs.contact;
		const late = runs.filter(run => run.at > knownAt && isUndisturbed(history, ['store', `host ${hosts.get(run.id)}`], run.at - timeBoundsMs.contact, run.at));
		return late.length > maxSendsAfterCrashes ? [`crash: ${target} crashed ${runs.length} upstreams, ${late.length} of them long after the third`] : [];
	});
};

/** When hosts must know the part under which upstreams crash: a time after the fifth crash, or the last if there are fewer. */
function getPartKnownAt({runs, calls}: SoakHistory): number {
	const ids = new Set(calls.filter(call => call.kind === 'part').map(call => call.id));
	const crashes = runs.filter(run => ids.has(run.id));
	return (crashes[crashesToKnowPart - 1] ?? crashes.at(-1))?.at ?? Number.POSITIVE_INFINITY;
}

const findCrashingPartsSentAgain: Check = history => {
	const knownAt = getPartKnownAt(history) + timeBoundsMs.contact;
	const hosts = new Map(history.calls.filter(call => call.kind === 'part').map(call => [call.id, call.host]));
	const late = history.runs.filter(run => hosts.has(run.id) && run.at > knownAt
		&& isUndisturbed(history, ['store', `host ${hosts.get(run.id)}`], run.at - timeBoundsMs.contact, run.at));
	return late.length > maxSendsAfterCrashes ? [`part: ${late.length} requests with a crashing part reached upstreams long after the fifth crash`] : [];
};

const findSoundRequestsLost: Check = history => {
	const isCalm = (call: Call): boolean => isUndisturbed(history, ['store', `host ${call.host}`], call.sentAt - timeBoundsMs.contact, call.endedAt);
	const sound = history.calls.filter(call => call.kind === 'sound' && !call.hasLeft && isCalm(call));
	const from = getPartKnownAt(history) + (2 * timeBoundsMs.contact);
	const until = Math.max(0, ...history.calls.filter(call => call.kind === 'part').map(call => call.sentAt));
	const beside = sound.filter(call => call.sentAt > from && call.sentAt < until);
	const apart = sound.filter(call => call.sentAt > until + timeBoundsMs.recovery);
	const getServedShare = (calls: readonly Call[]): number => calls.filter(call => call.status === 200).length / calls.length;
	return beside.length >= minSoundCalls && apart.length >= minSoundCalls && getServedShare(beside) < getServedShare(apart) / 2
		? [`sound: ${Math.round(getServedShare(beside) * 100)} % of ${beside.length} requests that share the key with crashing ones were served`]
		: [];
};

const findDuplicateFencingTokens: Check = ({orders}) => {
	const holders = new Map<string, string>();
	return orders.filter(({holder, token, upstream}) => {
		const key = `${upstream} ${token}`;
		const isSecond = holders.has(key) && holders.get(key) !== holder;
		holders.set(key, holder);
		return isSecond;
	}).map(order => `one: ${order.upstream} received fencing token ${order.token} from two holders`);
};

const findStaleWeights: Check = ({weights: {named, held}}) => held
	.filter(version => version !== named)
	.map(version => `weights: an engine has version ${version} at the end instead of the desired ${named}`);

/** Returns whether a call was sent after all faults and should be served. */
const isOwed = ({kind, sentAt, hasLeft}: Call, calmFrom: number): boolean =>
	sentAt > calmFrom + timeBoundsMs.recovery && !['extra', 'crash', 'part'].includes(kind) && !hasLeft;

const findFailedRecovery: Check = ({calls, calmFrom}) => {
	const late = calls.filter(call => isOwed(call, calmFrom));
	const served = late.filter(call => call.status === 200 && call.isWhole).length;
	return late.length === 0 || served < late.length * minServedShare ? [`recovery: ${served} of ${late.length} requests were served after the recovery bound`] : [];
};

/** Finds requests that failed more than the recovery bound after the last fault, when none should fail. */
const findLateFailures: Check = ({calls, calmFrom}) => calls
	.filter(call => isOwed(call, calmFrom) && !(call.status === 200 && call.isWhole))
	.map(call => `calm: ${call.id} at ${call.host} ended with status ${call.status}`);

/** Returns the software version that began a stream; `undefined` if none of its events reached the caller. */
function findBegunVersion({id, text}: Call, runsOf: ReadonlyMap<string, readonly UpstreamRun[]>): string | undefined {
	return text.includes('id: 0\n') ? runsOf.get(id)?.findLast(run => run.resumedAfter === undefined)?.version : undefined;
}

const findMixedVersions: Check = ({calls}, runsOf) => {
	const byId = new Map(calls.map(call => [call.id, call]));
	return calls.flatMap(call => {
		const first = byId.get(call.resumed?.begunBy ?? call.id);
		const version = first && findBegunVersion(first, runsOf);
		const others = (runsOf.get(call.id) ?? []).filter(run => run.resumedAfter !== undefined && run.version !== version);
		return version !== undefined && others.length > 0 ? [`order: ${call.id} went on at ${others[0]!.version}, ${first!.id} began at ${version}`] : [];
	});
};

/** Requests to an upstream that states a limit, sent by hosts that nothing disturbed since it began, or the upstream of late. */
const findLimitExcess: Check = history => {
	const hosts = new Map(history.calls.map(call => [call.id, call.host]));
	return history.limits.flatMap(({upstream, perS, from, until}) => {
		const counted = history.runs.filter(run => run.upstream === upstream && run.at >= from + timeBoundsMs.contact && run.at < until
			&& isUndisturbed(history, [`host ${hosts.get(run.id)}`], from, run.at)
			&& isUndisturbed(history, [`upstream ${upstream}`], run.at - timeBoundsMs.contact, run.at));
		const busiest = Math.max(0, ...counted.map(({at}) => counted.filter(run => run.at >= at && run.at < at + limitWindowMs).length));
		const allowed = (limitFactor * perS * limitWindowMs / msPerS) + limitSlack;
		return busiest > allowed
			? [`limit: ${upstream} got ${busiest} requests in ${limitWindowMs} ms with a limit of ${perS} a second; allowed ${Math.floor(allowed)}`]
			: [];
	});
};

/** Requests of a host, which nothing disturbed meanwhile, to an upstream that has asked it for rest. */
const findRestExcess: Check = history => {
	const hosts = new Map(history.calls.map(call => [call.id, call.host]));
	return history.rests.flatMap(({upstream, id, restS, at}) => {
		const host = hosts.get(id);
		const until = at + (restS * msPerS);
		const isUp = isUndisturbed(history, [`host ${host}`, `links of ${host}`, `upstream ${upstream}`], at, until);
		const during = history.runs.filter(run => run.upstream === upstream && hosts.get(run.id) === host && run.at > at + restNoticeMs && run.at < until);
		return isUp && during.length > maxDuringRest ? [`rest: ${upstream} asked ${host} for ${restS} s and ran ${during.length} of its requests meanwhile`] : [];
	});
};

/** Hosts that are cut off from upstreams, and whose callers are served worse than those of others. */
const findUnservedCuts: Check = history => history.cuts.flatMap(({host, from, until}) => {
	const judged = history.calls.filter(call => ['read', 'book', 'ask'].includes(call.kind) && call.sentAt > from + timeBoundsMs.contact && call.sentAt < until
		&& isUndisturbed(history, ['store', `host ${call.host}`], call.sentAt - timeBoundsMs.contact, call.endedAt));
	const getServed = (calls: readonly Call[]): number => calls.filter(call => call.status === 200).length / calls.length;
	const own = judged.filter(call => call.host === host);
	const others = judged.filter(call => call.host !== host);
	const failures = own.filter(call => call.status !== 200).length;
	return own.length >= minCutCalls && others.length >= minCutCalls && getServed(own) < minCutShare * getServed(others)
		&& failures > maxCutFailures + (maxCutFailureShare * own.length)
		? [`recover: ${host}, cut off from all upstreams, served ${Math.round(getServed(own) * own.length)} of ${own.length}, the others ${Math.round(getServed(others) * 100)} %`]
		: [];
});

const findUnexpectedExits: Check = ({exits}) => exits.map(host => `exit: ${host} exited unexpectedly`);

/** Guarantees that hold however slow the machine is. */
const untimedChecks: readonly Check[] = [
	findRepeatedBookings,
	findRefusedRuns,
	findMixedResponses,
	findUnrequestedRuns,
	findMixedVersions,
	findRunsBeyondRoute,
	findRetryBudgetExcess,
	findDuplicateFencingTokens,
	findUnexpectedExits,
];
/** Guarantees with a time bound, which hold only if the machine is not overloaded. */
const timedChecks: readonly Check[] = [
	findRunsAfterDrain,
	findCrashingRequestsSentAgain,
	findCrashingPartsSentAgain,
	findSoundRequestsLost,
	findLimitExcess,
	findRestExcess,
	findUnservedCuts,
	findStaleConfigurationUse,
	findLostResponses,
	findStaleWeights,
	findFailedRecovery,
	findLateFailures,
];

/** Returns the guarantees that the records of callers and upstreams violate, as texts that start with the kind of violation. */
export function findViolations(history: SoakHistory, checksTimeBounds: boolean): readonly string[] {
	const runsOf = new Map<string, UpstreamRun[]>();
	for (const run of history.runs) {
		runsOf.set(run.id, [...runsOf.get(run.id) ?? [], run]);
	}

	return [...untimedChecks, ...checksTimeBounds ? timedChecks : []].flatMap(check => check(history, runsOf));
}
