import {z} from 'zod';
import {type WeightAge} from '../decide/weights/weight-age.js';
import {log} from '../observe/log.js';
import {createInvalidEntryLog} from './create-invalid-entry-log.js';
import {type ObjectStore} from './object-store.js';
import {type StoredObject} from './stored-object.js';

/** Versions of a model that the record keeps, newest first. */
const maxVersions = 8;

/** The record of a model: when versions became the desired ones, by the clock that all engines share, in milliseconds. */
const recordSchema = z.object({since: z.array(z.tuple([z.number().int(), z.number()]))});

type Since = z.infer<typeof recordSchema>['since'];

/** Dependencies of the record. */
type WeightAgeRecordOptions = {
	readonly store: Pick<ObjectStore, 'list' | 'read' | 'create' | 'replace'>;
	/** Kind of the objects that hold the record, one for each model. */
	readonly kind: string;
	/** Returns the ages that this host knows. */
	readonly listKnown: () => readonly WeightAge[];
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
	const merged = new Map<number, number>();
	for (const [version, at] of [...a, ...b]) {
		merged.set(version, Math.min(at, merged.get(version) ?? at));
	}

	return [...merged].toSorted(([left], [right]) => right - left).slice(0, maxVersions);
}

/** Creates access to the record. Hosts never compare their own clocks: its times are those of the engines' clock. */
export function createWeightAgeRecord({store, kind, listKnown}: WeightAgeRecordOptions): WeightAgeRecord {
	/** Newest version on record, by model, as far as this host knows. */
	const savedVersions = new Map<string, number>();
	const logInvalid = createInvalidEntryLog(kind);

	const decode = ({name, value}: StoredObject): Since => {
		const parsed = recordSchema.safeParse(value);
		if (!parsed.success) {
			logInvalid(name, 'not the ages of weights');
		}

		return parsed.data?.since ?? [];
	};

	const listKnownOf = (model: string): readonly WeightAge[] => listKnown().filter(([of]) => of === model);

	return {
		lacks: model => listKnownOf(model).some(([, version]) => version > (savedVersions.get(model) ?? 0)),
		async save(model, clockMs) {
			const known = listKnownOf(model).map(([, version, ageMs]): [number, number] => [version, clockMs - ageMs]);
			const stored = await store.read(kind, model);
			const value = {since: merge(stored ? decode(stored) : [], known)};
			const written = stored ? await store.replace(kind, model, value, stored) : await store.create(kind, model, value);
			log.info({model, since: value.since, written: written !== undefined}, 'ages of weights recorded in the store');
			if (written) {
				savedVersions.set(model, Math.max(...known.map(([version]) => version)));
			}
		},
		async read(clockMs) {
			const {objects} = await store.list(kind);
			return objects.flatMap(object => decode(object).map(([version, at]) => [object.name, version, clockMs - at] as const));
		},
	};
}
