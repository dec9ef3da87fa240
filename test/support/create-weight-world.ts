import {type WeightAge} from '../../src/decide/weights/weight-age.js';
import {createWeightAges} from '../../src/decide/weights/create-weight-ages.js';
import {type WeightAges} from '../../src/decide/weights/weight-ages.js';

const model = 'm';
/** Version of all engines at the start. */
const firstVersion = 1;

/** An event of the world; hosts are given by their index. Not every event is possible at all times. */
export type WeightEvent
	= | {readonly kind: 'name'}
		| {readonly kind: 'prompt' | 'late' | 'restart' | 'write' | 'read'; readonly host: number}
		| {readonly kind: 'report'; readonly host: number; readonly to: number}
		| {readonly kind: 'step'};

/** Sizes and times of a world; times in milliseconds. */
type WeightWorldOptions = {
	readonly hosts: number;
	/** Versions that may be named beyond the first one. */
	readonly namings: number;
	readonly stepMs: number;
	/** Time that a report takes. */
	readonly reportMs: number;
	/** A host that watches learns of a naming within this time. */
	readonly promptMs: number;
};

type Host = {
	ages: WeightAges;
	/** Newest version that it has found in the store; 0 before it has read the store. */
	found: number;
	contactAt: number | undefined;
	/** Versions that it has found or heard of, with the time of the store's last confirmation before a version was found. */
	readonly heard: Map<number, number | undefined>;
	/** Versions that it has seen as they were named, since its last start. */
	readonly seen: Set<number>;
};

/** Hosts that learn of named weights and tell each other, beside the truth that no host knows. */
export type WeightWorld = {
	/** Plays an event; returns whether it was possible. */
	readonly play: (event: WeightEvent) => boolean;
	/** Lets all hosts read the store, and then all hear all others, twice. */
	readonly exchange: () => void;
	/** Returns what is wrong with the ages that hosts state: younger than the truth, with the time that ways may take. */
	readonly listTooYoung: () => readonly string[];
	/** The same, where a host that has heard of newer weights than an engine's counts all that were named, also those that it has not heard of. */
	readonly listTooYoungByAll: () => readonly string[];
	/** Returns ages that are infinite or older than the truth, of versions that a living host has seen named. Meant for after `exchange`. */
	readonly listTooOld: () => readonly string[];
	/** Returns a text that is the same for worlds that differ only by the names of hosts, and by less than a time step. */
	readonly describe: () => string;
};

/** Creates a world in which all hosts know the first version. */
export function createWeightWorld({hosts: count, namings, stepMs, reportMs, promptMs}: WeightWorldOptions): WeightWorld {
	let now = 0;
	let ways = 0;
	const namedAt = new Map<number, number>();
	const record = new Map<number, number | undefined>();
	const clocks = {monotonic: () => now, suspendAware: () => now};
	const start = (): Host => ({
		ages: createWeightAges(clocks), found: 0, contactAt: undefined, heard: new Map(), seen: new Set(),
	});
	const newest = (): number => firstVersion + namedAt.size;

	const find = (host: Host, isPrompt: boolean): void => {
		if (newest() > host.found) {
			host.ages.recordFound(model, newest(), {confirmedAt: host.contactAt, isPrompt});
			host.heard.set(newest(), host.contactAt);
			host.found = newest();
			if (isPrompt) {
				host.seen.add(newest());
			}
		}

		host.contactAt = now;
	};

	const tell = (host: Host, ages: readonly WeightAge[]): void => {
		for (const age of ages) {
			host.ages.recordStated(age);
			host.heard.set(age[1], host.heard.get(age[1]));
		}
	};

	const hosts = Array.from({length: count}, start);
	for (const host of hosts) {
		find(host, false);
	}

	const report = (from: Host, to: Host): boolean => {
		const ages = from.ages.list();
		now += reportMs;
		ways++;
		tell(to, ages);
		return ages.length > 0;
	};

	const actions: {readonly [Kind in WeightEvent['kind']]: (event: Extract<WeightEvent, {readonly kind: Kind}>) => boolean} = {
		name() {
			if (namedAt.size === namings) {
				return false;
			}

			namedAt.set(newest() + 1, now);
			return true;
		},
		prompt({host: index}) {
			const host = hosts[index]!;
			const missedAt = namedAt.get(host.found + 1);
			if (host.found === 0 || missedAt === undefined || now - missedAt > promptMs) {
				return false;
			}

			find(host, true);
			return true;
		},
		late({host: index}) {
			find(hosts[index]!, false);
			return true;
		},
		restart({host: index}) {
			hosts[index] = start();
			return true;
		},
		report: ({host, to}) => host !== to && report(hosts[host]!, hosts[to]!),
		write({host}) {
			for (const [, version, ageMs] of hosts[host]!.ages.list()) {
				record.set(version, ageMs === null ? record.get(version) : Math.min(now - ageMs, record.get(version) ?? Number.POSITIVE_INFINITY));
			}

			return record.size > 0;
		},
		read({host}) {
			tell(hosts[host]!, [...record].map(([version, at]) => [model, version, at === undefined ? null : now - at] as const));
			return record.size > 0;
		},
		step() {
			now += stepMs;
			return true;
		},
	};

	/** Lists for each host and version of an engine the stated age and the true one, by those newer versions that `isCounted` names. */
	const compare = (isCounted: (host: Host, version: number) => boolean) => hosts.flatMap((host, index) => Array.from({length: newest() - 1}, (_, version) => version + 1).map(version => {
		const times = [...namedAt].filter(([each]) => each > version && isCounted(host, each)).map(([, at]) => now - at);
		return {
			index, version, statedMs: host.ages.getStaleForMs(model, version), trueMs: times.length > 0 ? Math.max(...times) : undefined,
		};
	}));

	type Compared = ReturnType<typeof compare>[number];

	const toText = ({index, version, statedMs, trueMs}: Compared): string => `host ${index} states ${statedMs} ms for engines with version ${version}, truth ${trueMs} ms`;

	const listYoung = (isCounted: (host: Host, version: number) => boolean): readonly Compared[] => compare(isCounted)
		.filter(({statedMs, trueMs}) => trueMs !== undefined && !(statedMs !== undefined && statedMs >= trueMs - promptMs - (ways * reportMs)));

	return {
		play: event => (actions[event.kind] as (each: WeightEvent) => boolean)(event),
		exchange() {
			for (const host of hosts) {
				find(host, false);
			}

			for (const from of [...hosts, ...hosts]) {
				for (const to of hosts.filter(host => host !== from)) {
					report(from, to);
				}
			}
		},
		listTooYoung: () => listYoung((host, version) => host.heard.has(version)).map(each => toText(each)),
		listTooYoungByAll: () => listYoung(() => true).filter(({statedMs}) => statedMs !== undefined).map(each => toText(each)),
		listTooOld: () => compare(() => true)
			.filter(({version, statedMs, trueMs}) => {
				const areSeen = [...namedAt.keys()].every(each => each <= version || hosts.some(host => host.seen.has(each)));
				return areSeen && trueMs !== undefined && !(statedMs !== undefined && statedMs <= trueMs + 1);
			})
			.map(each => toText(each)),
		describe() {
			const round = (at: number | undefined): number => at === undefined ? -1 : Math.round((now - at) / stepMs);
			const texts = hosts.map(({ages, found, contactAt, heard, seen}) => JSON.stringify([
				found,
				round(contactAt),
				[...seen],
				[...heard].map(([version, at]) => [version, round(at)]).toSorted(([a], [b]) => a! - b!),
				ages.list().map(([, version, ageMs]) => [version, ageMs === null ? -1 : Math.round(ageMs / stepMs)]).toSorted(([a], [b]) => a! - b!),
			]));
			return JSON.stringify([
				texts.toSorted(), [...namedAt.values()].map(at => round(at)), [...record].map(([version, at]) => [version, round(at)]).toSorted(([a], [b]) => a! - b!),
			]);
		},
	};
}
