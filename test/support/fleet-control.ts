import {callJson} from '../../src/http/call-json.js';
import {type StandIn} from '../../src/stand-ins/stand-in.js';
import {type FleetHost} from './start-fleet.js';

const timeoutMs = 5000;

/** Sets the faults that a stand-in simulates. */
export async function setStandInFaults(standIn: StandIn, faults: Readonly<Record<string, unknown>>): Promise<void> {
	await callJson(`${standIn.url}/control`, {body: faults, timeoutMs});
}

/** Returns the counters of a stand-in. */
export async function readStandInCounts(standIn: StandIn): Promise<any> {
	const {body} = await callJson(`${standIn.url}/counts`, {timeoutMs});
	return body;
}

/** Sets the faults that a host injects. */
export async function setHostFaults(host: FleetHost, faults: Readonly<Record<string, unknown>>): Promise<void> {
	await callJson(`http://${host.operators}/faults`, {body: faults, timeoutMs});
}

/** Returns the status of a host. */
export async function readHostStatus(host: FleetHost): Promise<any> {
	const {body} = await callJson(`http://${host.operators}/status`, {timeoutMs});
	return body;
}

/** Returns the total number of completions that the engines received. */
export async function countEngineRuns(engines: readonly StandIn[]): Promise<number> {
	const counts = await Promise.all(engines.map(async engine => readStandInCounts(engine)));
	return counts.flatMap(count => Object.values(count.runs as Readonly<Record<string, number>>)).reduce((total, runs) => total + runs, 0);
}
