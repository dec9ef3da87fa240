/** An entry of the platform's list of hosts, which may lag behind. */
export type ListedHost = {
	readonly name: string;
	readonly domain: string;
	/** Address for peers, `IP:PORT`. */
	readonly peers: string;
	readonly leaving: boolean;
};
