import {z} from 'zod';
import {type WeightAge} from '../decide/weights/weight-age.js';
import {log} from '../observe/log.js';
import {createInvalidEntryLog} from './create-invalid-entry-log.js';
import {type ObjectStore} from './object-store.js';
import {type StoredObject} from './stored-object.js';

/** Versions of a model that the record keeps, newest first. */
const maxVersions = 8;

/** The record of a model: when versions became the desired ones, by the clock that all engines share, in milliseconds; `null` when nobody knew. */
const recordSchema = z.object({since: z.array(z.tuple([z.number().int(), z.number().nullable()]))});

type Since = z.infer<typeof recordSchema>['since'];

/** Dependencies of the record. */
type WeightAgeRecordOptions = {
	readonly store: Pick<ObjectStore, 'list' | 'read' | 'create' | 'replace'>;
	/** Kind of the objects that hold the record, one for each model. */
	readonly kind: string;
	/** Returns the newest epoch of the store. */
	readonly getEpoch: () => number;
	/** Returns the ages of the versions that this host has heard of. */
	readonly listAges: () => readonly WeightAge[];
};

/**
The record in the platform's store of when versions of weights became the desired ones, by the clock that all engines share; it outlasts all
hosts. `clockMs` is the time by that clock now. Calls of the store throw `PlatformUnavailableError` when it does not respond.
*/
export type WeightAgeRecord = {
	/** Returns whether this host knows the age of a version of a model that may not be on record. */
	readonly lacks: (model: string) => boolean;
	/** Records the known ages of a model. */
	readonly save: (model: string, clockMs: number) => Promise<void>;
	/** Returns the ages on record. */
	readonly read: (clockMs: number) => Promise<readonly WeightAge[]>;
};

/** Merges two lists; of two times of a version the earlier one holds. */
function merge(a: Since, b: Since): Since {
	const merged = new Map<number, number | null>();
	for (const [version, at] of [...a, ...b]) {
		const other = merged.get(version) ?? null;
		merged.set(version, at === null || other === null ? at ?? other : Math.min(at, other));
	}

	return [...merged].toSorted(([left], [right]) => right - left).slice(0, maxVersions);
}

/** Creates access to the record. Hosts never compare their own clocks: its times are those of the engines' clock. */
export function createWeightAgeRecord({store, kind, getEpoch, listAges}: WeightAgeRecordOptions): WeightAgeRecord {
	/** Newest version on record, by epoch of the store and model, as far as this host knows: a store that returns from an older copy may lack it. */
	const savedVersions = new Map<string, number>();
	const toKey = (model: string): string => `${getEpoch()}/${model}`;
	const logInvalid = createInvalidEntryLog(kind);

	const decode = ({name, value}: StoredObject): Since => {
		const parsed = recordSchema.safeParse(value);
		if (!parsed.success) {
			logInvalid(name, 'not the ages of weights');
		}

		return parsed.data?.since ?? [];
	};

	const listOf = (model: string): readonly WeightAge[] => listAges().filter(([of]) => of === model);

	return {
		lacks: model => listOf(model).some(([, version, ageMs]) => ageMs !== null && version > (savedVersions.get(toKey(model)) ?? 0)),
		async save(model, clockMs) {
			const since = listOf(model).map(([, version, ageMs]): [number, number | null] => [version, ageMs === null ? null : clockMs - ageMs]);
			const stored = await store.read(kind, model);
			const value = {since: merge(stored ? decode(stored) : [], since)};
			const written = stored ? await store.replace(kind, model, value, stored) : await store.create(kind, model, value);
			log.info({model, since: value.since, written: written !== undefined}, 'ages of weights recorded in the store');
			if (written) {
				savedVersions.set(toKey(model), Math.max(...since.map(([version]) => version)));
			}
		},
		async read(clockMs) {
			const {objects} = await store.list(kind);
			return objects.flatMap(object => decode(object).map(([version, at]) => [object.name, version, at === null ? null : clockMs - at] as const));
		},
	};
}
