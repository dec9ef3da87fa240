import process from 'node:process';

/** Returns the processor time of this process, user and system, in microseconds. */
export function readCpuUs(): number {
	const {user, system} = process.cpuUsage();
	return user + system;
}
