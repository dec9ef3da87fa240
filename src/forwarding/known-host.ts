/** Another host, as it reports itself. */
export type KnownHost = {
	readonly host: string;
	readonly domain: string;
	readonly peers: string;
	readonly reports: string;
	/** When the last report came, in milliseconds of the steady clock; `undefined` where none has come. */
	readonly heardAt: number | undefined;
	/** Time between its reports, in milliseconds. */
	readonly everyMs: number;
	/** Whether the store does not answer it. */
	readonly isStoreLost: boolean;
};
