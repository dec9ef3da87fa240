import {type Route} from '../../forwarding/route.js';

/** Returns the route for a host and a path; `undefined` where none matches. */
export type RouteFinder = (host: string, path: string) => Route | undefined;
