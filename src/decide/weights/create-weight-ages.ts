import {type Clocks} from '../../util/clocks.js';
import {type WeightAge} from './weight-age.js';
import {type WeightAges} from './weight-ages.js';

/** Versions of a model whose ages are kept; the oldest one bounds the age of those before. */
const maxVersions = 16;

/** When a version became the desired one. Times are in milliseconds. */
type Since = {
	/** Earliest time, by the clock for this host's own rights; `-Infinity` when it may be long ago. */
	earliestAt: number;
	/** The time that somebody has seen it, by both clocks; `undefined` when nobody that was heard has. */
	known: {readonly held: number; readonly wait: number} | undefined;
};

/**
Creates the record of for how long versions of weights have been the desired ones, over restarts and over hosts. Of several statements the
oldest holds: a host that learned late states too little. A version whose age is not known is stated too, since it became the desired one
before those after it. What nobody has seen counts from the last time at which the platform's store confirmed that it was not so, or as
infinitely old. Other hosts are told ages by the clock that never runs ahead, so that the wall clock of one host does not make weights old
for all.
*/
export function createWeightAges({suspendAware, monotonic}: Clocks): WeightAges {
	const versionsByModel = new Map<string, Map<number, Since>>();

	/** Callers name models that there are not: nothing is kept of these. */
	const versionsOf = (model: string): Map<number, Since> => versionsByModel.get(model) ?? new Map<number, Since>();

	const find = (model: string, version: number): Since => {
		const versions = versionsOf(model);
		versionsByModel.set(model, versions);
		const since: Since = versions.get(version) ?? {earliestAt: Number.NEGATIVE_INFINITY, known: undefined};
		versions.set(version, since);
		return since;
	};

	const setKnown = (since: Since, held: number, wait: number): void => {
		since.known = {held: Math.min(held, since.known?.held ?? held), wait: Math.min(wait, since.known?.wait ?? wait)};
	};

	/** Removes the second oldest version beyond those that are kept; the next one takes over its time, so that no engine's weights become younger. */
	const limitVersions = (model: string): void => {
		const versions = versionsOf(model);
		if (versions.size <= maxVersions) {
			return;
		}

		const [, second, third] = [...versions.keys()].toSorted((a, b) => a - b);
		const {earliestAt, known} = versions.get(second!)!;
		const next = versions.get(third!)!;
		next.earliestAt = Math.min(next.earliestAt, earliestAt);
		if (known && next.known) {
			setKnown(next, known.held, known.wait);
		} else {
			next.known = undefined;
		}

		versions.delete(second!);
	};

	/** A version has become the desired one after all versions before it. */
	const getEarliestAt = (model: string, version: number): number => {
		const {earliestAt, known} = versionsOf(model).get(version)!;
		const before = [...versionsOf(model)].flatMap(([each, since]) => each < version && since.known ? [since.known.held] : []);
		return known?.held ?? Math.max(earliestAt, ...before);
	};

	const listNewer = (model: string, version: number): readonly number[] => [...versionsOf(model).keys()].filter(each => each > version);

	return {
		recordFound(model, version, {confirmedAt, isPrompt}) {
			const since = find(model, version);
			since.earliestAt = Math.max(since.earliestAt, confirmedAt ?? Number.NEGATIVE_INFINITY);
			if (isPrompt) {
				setKnown(since, suspendAware(), monotonic());
			}

			limitVersions(model);
		},
		recordStated([model, version, ageMs]) {
			if (ageMs === null) {
				find(model, version);
			} else if (ageMs >= 0 && Number.isFinite(ageMs)) {
				setKnown(find(model, version), suspendAware() - ageMs, monotonic() - ageMs);
			}

			limitVersions(model);
		},
		getStaleForMs(model, version) {
			const newer = listNewer(model, version);
			return newer.length > 0 ? suspendAware() - Math.min(...newer.map(each => getEarliestAt(model, each))) : undefined;
		},
		getLeastStaleForMs(model, version) {
			const known = listNewer(model, version).flatMap(each => versionsOf(model).get(each)!.known?.wait ?? []);
			return known.length > 0 ? monotonic() - Math.min(...known) : undefined;
		},
		list: () => [...versionsByModel].flatMap(([model, versions]) => [...versions].map(([version, {known}]): WeightAge =>
			[model, version, known ? Math.floor(monotonic() - known.wait) : null])),
		isUnknown: (model, version) => listNewer(model, version).some(each => versionsOf(model).get(each)!.known === undefined),
	};
}
