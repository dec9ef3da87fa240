import {createEngineQueue} from '../src/decide/grants/create-engine-queue.js';
import {type SlotRequest} from '../src/decide/grants/slot-request.js';
import {createSeededRandom} from '../src/util/create-seeded-random.js';
import {computeSha256} from '../src/util/compute-sha256.js';
import {measureCpu} from './measure-cpu.js';
import {measureHeap} from './measure-heap.js';
import {printLinearFit} from './print-linear-fit.js';

const createSlotRequest = (index: number, workspaces: number): SlotRequest => ({
	id: `0b9f7a4e-2f0d-4a53-9f0f-${String(index).padStart(12, '0')}`, engine: 'engine-17', host: 'host-12', leftMs: 1e9, prefillTokens: 1000,
	keys: Array.from({length: 10}, (_, piece) => computeSha256(`${index}/${piece}`).slice(0, 32)),
	alone: false, resumed: false, service: 'drafting', serviceWeight: 1, workspace: `workspace-${index % workspaces}`, workspaceWeight: 1, cost: 1200,
});

const createQueue = () => createEngineQueue({
	slots: 8, queueLimit: 1e6, openAt: 0, prefillTokensPerS: 1e9, random: createSeededRandom(1),
});

/** Measures the queue of slot requests at an engine's owner. */
export function benchGrants(): void {
	printLinearFit('slot request, grant and release, by waiting requests', 'us', [10, 50, 200, 800].map(count => {
		const queue = createQueue();
		for (let index = 0; index < count + 8; index++) {
			queue.ask(createSlotRequest(index, 20), 0);
		}

		let next = count + 8;
		const slotRequests = Array.from({length: 3000}, (_, index) => createSlotRequest(next + index, 20));
		const running = Array.from({length: 8}, (_, index) => createSlotRequest(index, 20).id);
		return [count, measureCpu(2800, index => {
			const [action] = queue.release(running.shift()!, 200, 0);
			running.push(action!.ask.id);
			queue.ask(slotRequests[index]!, 0);
			next++;
		}).cpuUs] as const;
	}));
	printLinearFit('slot request, grant and release with 50 waiting, by workspaces', 'us', [10, 100, 1000, 5000].map(workspaces => {
		const queue = createQueue();
		const slotRequests = Array.from({length: workspaces + 3058}, (_, index) => createSlotRequest(index, workspaces));
		const running: string[] = [];
		for (const slotRequest of slotRequests.slice(0, workspaces)) {
			running.push(...queue.ask(slotRequest, 0).map(action => action.ask.id));
			if (running.length >= 8) {
				running.push(...queue.release(running.shift()!, 100, 0).map(action => action.ask.id));
			}
		}

		for (const slotRequest of slotRequests.slice(workspaces, workspaces + 50)) {
			running.push(...queue.ask(slotRequest, 0).map(action => action.ask.id));
		}

		return [workspaces, measureCpu(2800, index => {
			running.push(...queue.release(running.shift()!, 200, 0).map(action => action.ask.id), ...queue.ask(slotRequests[workspaces + 50 + index]!, 0).map(action => action.ask.id));
		}).cpuUs] as const;
	}));
	printLinearFit('heap of a queue, by waiting requests', 'bytes', [100, 400, 1600, 6400].map(count => [count, measureHeap(() => {
		const queue = createQueue();
		for (let index = 0; index < count; index++) {
			queue.ask(createSlotRequest(index, 20), 0);
		}

		return queue;
	}).bytes] as const));
	printLinearFit('size of a slot request, by pieces of the prompt', 'bytes', [0, 5, 10, 40].map(pieces => {
		const slotRequest = createSlotRequest(1, 20);
		return [pieces, JSON.stringify({
			jsonrpc: '2.0', id: slotRequest.id, method: 'grant.ask', params: {...slotRequest, keys: Array.from({length: pieces}, () => slotRequest.keys[0])},
		}).length] as const;
	}));
}
