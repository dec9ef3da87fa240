import {readFileSync} from 'node:fs';
import {type HostSettings} from './host-settings.js';
import {type TlsCredentials} from './tls-credentials.js';

/** Reads the key and certificates for mutual TLS; `undefined` when the settings name none. */
export function readTlsCredentials(tls: HostSettings['tls']): TlsCredentials | undefined {
	return tls && {
		key: readFileSync(tls.key, 'utf8'),
		cert: readFileSync(tls.certificate, 'utf8'),
		ca: readFileSync(tls.authority, 'utf8'),
	};
}
