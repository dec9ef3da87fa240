/** Key and certificates for mutual TLS between hosts, in PEM. */
export type TlsCredentials = {
	readonly key: string;
	readonly cert: string;
	readonly ca: string;
};
