import {type PeerHandlers} from '../peers/peer-handlers.js';
import {type Stop} from '../util/stop.js';
import {type ConfigSnapshot} from './config-snapshot.js';

/** The running configuration of one host. */
export type ConfigTask = {
	/** The newest snapshot ever seen here; `undefined` before the first. */
	readonly current: () => ConfigSnapshot | undefined;
	readonly onChange: (listener: (snapshot: ConfigSnapshot) => void) => void;
	/** Fetches the head of a peer that has a newer revision. */
	readonly pull: (peers: string) => Promise<void>;
	readonly handlers: Pick<PeerHandlers, 'config.head' | 'config.push' | 'config.text'>;
	readonly stop: Stop;
};
