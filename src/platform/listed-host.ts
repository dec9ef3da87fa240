/** An entry of the platform's lagging list of hosts. */
export type ListedHost = {
	readonly name: string;
	readonly domain: string;
	/** Address for peers, `IP:PORT`. */
	readonly peers: string;
	readonly leaving: boolean;
};
