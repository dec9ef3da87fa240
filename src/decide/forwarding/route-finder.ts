import {type Route} from '../../forwarding/route.js';

/** Finds the route of a host and a path; `undefined` where there is none. */
export type RouteFinder = (host: string, path: string) => Route | undefined;
