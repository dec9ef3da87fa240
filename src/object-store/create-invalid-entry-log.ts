import {log} from '../observe/log.js';

/** Further entries are left out without a line of their own. */
const maxLoggedEntries = 100;

/** Creates the function that logs an entry that is left out: once for each name, and for a limited number of names. */
export function createInvalidEntryLog(kind: string): (entry: string, fault: string) => void {
	const logged = new Set<string>();
	return (entry, fault) => {
		if (logged.has(entry) || logged.size >= maxLoggedEntries) {
			return;
		}

		logged.add(entry);
		log.warn({
			kind, entry, fault, isLastLogged: logged.size === maxLoggedEntries,
		}, 'invalid entry left out');
	};
}
