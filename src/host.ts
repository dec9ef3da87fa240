import {type Stop} from './util/stop.js';

/** A running host. */
export type Host = {
	readonly name: string;
	/** Ports in use, which differ from the settings where those say 0. */
	readonly ports: {readonly callers: number; readonly peers: number; readonly operators: number};
	/** Planned stop: leaves, waits out the balancer's lag, finishes what runs. */
	readonly drain: Stop;
	/** Stop without waiting. */
	readonly stop: Stop;
	/** Reads the TLS keys again. */
	readonly reloadTlsCredentials: () => void;
};
