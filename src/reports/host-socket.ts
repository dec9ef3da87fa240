import {type HostMessage} from './host-message.js';

/** Socket for datagrams between hosts. */
export type HostSocket = {
	/** Binds the socket to its address. Throws when that fails, for example since another process has the address. */
	readonly open: () => Promise<void>;
	/** Sends a message to addresses `IP:PORT`. */
	readonly send: (message: HostMessage, addresses: readonly string[]) => void;
	readonly close: () => void;
};
