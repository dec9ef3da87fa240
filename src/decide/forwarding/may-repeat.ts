import {type Route} from '../../forwarding/route.js';

/** Whether requests of a route may run more than once; others run at most once for each attempt of their caller. */
export function mayRepeat({kind, isResumable}: Pick<Route, 'kind' | 'isResumable'>): boolean {
	return kind === 'idempotent' || (kind === 'stream' && isResumable);
}
