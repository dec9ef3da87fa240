import {createSocket} from 'node:dgram';
import {parseAddress} from '../http/parse-address.js';
import {log} from '../observe/log.js';
import {decodeHostMessage} from './decode-host-message.js';
import {encodeHostMessage} from './encode-host-message.js';
import {type HostMessage} from './host-message.js';
import {type HostSocket} from './host-socket.js';

/** Creates the UDP socket for messages between hosts, bound to `address` by `open`, which throws when that fails; calls `onMessage` with each decoded message. */
export function createHostSocket(address: string, onMessage: (message: HostMessage) => void): HostSocket {
	const socket = createSocket('udp4');
	let isClosed = false;
	socket.on('message', bytes => {
		try {
			onMessage(decodeHostMessage(bytes));
		} catch (error) {
			log.warn({error: String(error)}, 'invalid message from another host ignored');
		}
	});
	socket.on('error', error => {
		log.warn({error: String(error)}, 'socket for host messages failed');
	});

	return {
		async open() {
			const {host, port} = parseAddress(address);
			await new Promise<void>((resolve, reject) => {
				socket.once('error', reject);
				socket.bind(port, host, () => {
					socket.off('error', reject);
					resolve();
				});
			});
		},
		send(message, addresses) {
			if (isClosed || addresses.length === 0) {
				return;
			}

			const bytes = encodeHostMessage(message);
			for (const to of addresses) {
				const {host, port} = parseAddress(to);
				// Send errors are ignored like lost datagrams, since the next report follows soon.
				socket.send(bytes, port, host, () => undefined);
			}
		},
		close() {
			isClosed = true;
			socket.close();
		},
	};
}
