import {isIPv4, isIPv6} from 'node:net';

const maxPort = 65_535;
const address = /^(?:(?<ipv4>[\d.]+)|\[(?<ipv6>[\da-f.:]+)\]):(?<port>\d{1,5})$/iv;

/** Returns whether `text` is an IP address and a port that connections can be opened to, as `IP:PORT`; an IPv6 address is in brackets. */
export function isAddress(text: string): boolean {
	const {ipv4, ipv6, port} = address.exec(text)?.groups ?? {};
	const isHost = ipv4 === undefined ? ipv6 !== undefined && isIPv6(ipv6) : isIPv4(ipv4);
	return isHost && Number(port) > 0 && Number(port) <= maxPort;
}
