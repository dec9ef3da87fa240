import {type Stop} from './util/stop.js';

/** A running host. */
export type Host = {
	readonly name: string;
	/** Ports in use, which differ from the settings where those have 0. */
	readonly ports: {readonly callers: number; readonly peers: number; readonly operators: number};
	/** Graceful shutdown: announces that the host leaves, accepts requests until the balancer has noticed, and completes those in flight. */
	readonly drain: Stop;
	/** Stops without waiting for requests. */
	readonly stop: Stop;
	/** Reloads the TLS credentials. */
	readonly reloadTlsCredentials: () => void;
};
