import {type Address} from './address.js';

/**
Parses `IP:PORT`.

@throws {RangeError} When `text` has no port between 0 and 65535.
@example
parseAddress('127.0.0.1:8080'); // {host: '127.0.0.1', port: 8080}
*/
export function parseAddress(text: string): Address {
	const separatorIndex = text.lastIndexOf(':');
	const port = Number(text.slice(separatorIndex + 1));
	if (separatorIndex < 1 || !Number.isInteger(port) || port < 0 || port > 65_535) {
		throw new RangeError(`"${text}" is not IP:PORT`);
	}

	return {host: text.slice(0, separatorIndex).replaceAll(/[\[\]]/gv, ''), port};
}
