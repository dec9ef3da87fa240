import {type PeerHandlers} from '../peers/peer-handlers.js';
import {type Stop} from '../util/stop.js';
import {type ConfigSnapshot} from './config-snapshot.js';

/** Keeps the configuration of one host up to date. */
export type ConfigTask = {
	/** Returns the snapshot with the highest revision that this host has loaded; `undefined` before the first. */
	readonly current: () => ConfigSnapshot | undefined;
	/** Calls `listener` with every new snapshot. */
	readonly onChange: (listener: (snapshot: ConfigSnapshot) => void) => void;
	/** Loads the configuration of the peer at `peerAddress` if its revision is newer. */
	readonly pull: (peerAddress: string) => Promise<void>;
	readonly handlers: Pick<PeerHandlers, 'config.head' | 'config.push' | 'config.text'>;
	readonly stop: Stop;
};
