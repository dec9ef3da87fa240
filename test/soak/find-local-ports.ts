import {readdirSync, readFileSync, readlinkSync} from 'node:fs';

const hexRadix = 16;

/** Returns the inodes of the sockets that a process has open; none once it has ended. */
function listSocketInodes(pid: number): ReadonlySet<string> {
	try {
		const folder = `/proc/${pid}/fd`;
		const targets = readdirSync(folder).map(name => {
			try {
				return readlinkSync(`${folder}/${name}`);
			} catch {
				return '';
			}
		});
		return new Set(targets.flatMap(target => /^socket:\[(?<inode>\d+)\]$/v.exec(target)?.groups?.inode ?? []));
	} catch {
		return new Set();
	}
}

/** Returns the local ports of a process's IPv4 TCP connections. */
export function findLocalPorts(pid: number): ReadonlySet<number> {
	const inodes = listSocketInodes(pid);
	const rows = readFileSync('/proc/net/tcp', 'utf8').trim().split('\n').slice(1).map(line => line.trim().split(/\s+/v));
	return new Set(rows
		.filter(columns => inodes.has(columns[9] ?? ''))
		.map(columns => Number.parseInt(columns[1]!.split(':')[1]!, hexRadix)));
}
