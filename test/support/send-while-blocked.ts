import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

const workerCode = `
const {connect} = require('node:net');
const {parentPort, workerData: {port, bytes}} = require('node:worker_threads');
const socket = connect(port, '127.0.0.1', () => parentPort.postMessage('connected'));
socket.on('error', () => undefined);
socket.resume();
parentPort.once('message', () => socket.end(bytes));
socket.on('close', () => parentPort.close());
`;

/** Blocks this thread and any host running in it for `blockMs`, while a worker thread sends `bytes` and ends its side of the connection. */
export async function sendWhileBlocked(address: string, bytes: string, blockMs: number): Promise<void> {
	const worker = new Worker(workerCode, {eval: true, workerData: {port: Number(address.split(':')[1]), bytes}});
	const exited = once(worker, 'exit');
	await once(worker, 'message');
	worker.postMessage('send');
	Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, blockMs);
	await exited;
}
