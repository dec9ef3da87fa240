/** Returns a host name in lower case and without its port. */
export function toHostName(host: string): string {
	return host.toLowerCase().replace(/:\d+$/v, '');
}
