import {callJson} from '../../src/http/call-json.js';
import {type StandIn} from '../../src/stand-ins/stand-in.js';
import {type FleetHost} from './fleet.js';

const timeoutMs = 5000;

/** Sets faults of a stand-in. */
export async function control(standIn: StandIn, faults: Readonly<Record<string, unknown>>): Promise<void> {
	await callJson(`${standIn.url}/control`, {body: faults, timeoutMs});
}

/** Reads a stand-in's counts. */
export async function readCounts(standIn: StandIn): Promise<any> {
	const {body} = await callJson(`${standIn.url}/counts`, {timeoutMs});
	return body;
}

/** Sets a host's fault switches. */
export async function setFaults(host: FleetHost, faults: Readonly<Record<string, unknown>>): Promise<void> {
	await callJson(`http://${host.operators}/faults`, {body: faults, timeoutMs});
}

/** Reads a host's status. */
export async function readStatus(host: FleetHost): Promise<any> {
	const {body} = await callJson(`http://${host.operators}/status`, {timeoutMs});
	return body;
}

/** Sum of completions that engines were sent. */
export async function countRuns(engines: readonly StandIn[]): Promise<number> {
	const counts = await Promise.all(engines.map(async engine => readCounts(engine)));
	return counts.flatMap(count => Object.values(count.runs as Readonly<Record<string, number>>)).reduce((total, runs) => total + runs, 0);
}
