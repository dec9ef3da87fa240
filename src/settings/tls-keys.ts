/** Keys of mutual TLS between hosts, in PEM. */
export type TlsKeys = {
	readonly key: string;
	readonly cert: string;
	readonly ca: string;
};
