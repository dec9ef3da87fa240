import {type UpstreamLoad} from './upstream-load.js';

/** What one host, or several together, do to the upstreams and have lately found out about them. */
export type LoadReport = {
	readonly loads: readonly UpstreamLoad[];
	/** Engines that are taking new weights: id, model and version. */
	readonly loading: ReadonlyArray<readonly [string, string, number]>;
	/** Weights that engines were found to have lately: id, model and version. */
	readonly weights: ReadonlyArray<readonly [string, string, number]>;
	/** Requests that have lately crashed an upstream: digest and upstream. */
	readonly crashes: ReadonlyArray<readonly [string, string]>;
};
