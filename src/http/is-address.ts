import {isIPv4} from 'node:net';

const maxPort = 65_535;
const address = /^([\d.]+):(\d{1,5})$/v;

/** Returns whether `text` is an IPv4 address and a port that connections can be opened to, as `IP:PORT`. */
export function isAddress(text: string): boolean {
	const [, host = '', port = ''] = address.exec(text) ?? [];
	return isIPv4(host) && Number(port) > 0 && Number(port) <= maxPort;
}
