import {type HostMessage} from './host-message.js';

/** Socket for datagrams between hosts. */
export type HostSocket = {
	readonly open: () => Promise<void>;
	/** Sends a message to addresses `IP:PORT`. */
	readonly send: (message: HostMessage, addresses: readonly string[]) => void;
	readonly close: () => void;
};
