import {type EvacuationEntry} from './evacuation-entry.js';
import {isRemovedEntry} from './is-removed-entry.js';
import {toRemovedEntry} from './to-removed-entry.js';

/** Which failure domains have been taken out of service and put back, and which are out of service now. */
type EvacuationChange = {
	readonly inForce: ReadonlyMap<string, EvacuationEntry>;
	readonly begun: readonly EvacuationEntry[];
	/** Records of the removals of entries that were in force. */
	readonly ended: readonly EvacuationEntry[];
};

/** Compares the entries with those that were in force before. Each domain begins and ends once, however often its entry is received. */
export function diffEvacuations(before: ReadonlyMap<string, EvacuationEntry>, entries: readonly EvacuationEntry[]): EvacuationChange {
	const byName = new Map(entries.map(entry => [entry.name, entry]));
	const inForce = new Map(entries.filter(entry => !isRemovedEntry(entry)).map(entry => [entry.name, entry]));
	return {
		inForce,
		begun: [...inForce.values()].filter(({name}) => !before.has(name)),
		ended: [...before.values()].filter(({name}) => !inForce.has(name)).map(entry => byName.get(entry.name) ?? toRemovedEntry(entry, entry)),
	};
}
