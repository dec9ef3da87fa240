import {createEngineQueue} from '../decide/grants/create-engine-queue.js';
import {type SlotRequest} from '../decide/grants/slot-request.js';
import {type EngineQueue} from '../decide/grants/engine-queue.js';
import {type GrantAction} from '../decide/grants/grant-action.js';
import {createSeededRandom} from '../util/create-seeded-random.js';
import {createVirtualClock} from './create-virtual-clock.js';

const serverCount = 10;

/**
Options of the queueing simulation. By default, messages are instant and service times exponential, as in the source that
{@link simulateRedundancy} names.
*/
type RedundancyOptions = {
	readonly copiesPerJob: number;
	/** Arrival rate as a share of the servers' total service rate. */
	readonly load: number;
	readonly seed: number;
	readonly arrivalCount: number;
	/** One-way message latency, in mean service times. */
	readonly messageDelay?: number;
	/** Draws a service time with mean 1. */
	readonly drawServiceTime?: (random: () => number) => number;
};

const exponential = (random: () => number): number => -Math.log(1 - random());

/**
Simulates redundancy with cancel-on-start on the slot queues of `serve`: copies of each job go to `copiesPerJob` of 10 servers
chosen at random, and when one copy starts, the others are withdrawn. Source: "Redundancy
with cancel-on-start and cancel-on-complete: a unifying analysis", Table 1.

@returns The mean number of jobs in the system.
*/
export function simulateRedundancy({copiesPerJob, load, seed, arrivalCount, messageDelay = 0, drawServiceTime = exponential}: RedundancyOptions): number {
	const clock = createVirtualClock();
	const random = createSeededRandom(seed);
	const queues: readonly EngineQueue[] = Array.from({length: serverCount}, () =>
		createEngineQueue({
			slots: 1, queueLimit: 1e9, openAt: 0, prefillTokensPerS: 1, random,
		}));
	const jobs = new Map<string, {started: boolean; readonly copies: ReadonlyArray<readonly [string, number]>}>();
	let jobsInSystem = 0;
	let jobTimeIntegral = 0;
	let lastChangeAt = 0;
	let nextJob = 0;

	/** Adds `change` to the number of jobs in the system and advances its integral over time. */
	const changeJobCount = (change: number): void => {
		jobTimeIntegral += jobsInSystem * (clock.now() - lastChangeAt);
		lastChangeAt = clock.now();
		jobsInSystem += change;
	};

	const applyGrantActions = (server: number, actions: readonly GrantAction[]): void => {
		for (const action of actions) {
			if (action.kind === 'grant') {
				clock.at(clock.now() + messageDelay, () => {
					onGrant(server, action.ask.id);
				});
			}
		}
	};

	const onGrant = (server: number, id: string): void => {
		const job = jobs.get(id.split('/')[0]!);
		if (!job || job.started) {
			clock.at(clock.now() + messageDelay, () => {
				applyGrantActions(server, queues[server]!.withdraw(id, clock.now()));
			});
			return;
		}

		job.started = true;
		for (const [copy, otherServer] of job.copies) {
			if (copy !== id) {
				clock.at(clock.now() + messageDelay, () => {
					applyGrantActions(otherServer, queues[otherServer]!.withdraw(copy, clock.now()));
				});
			}
		}

		clock.at(clock.now() + drawServiceTime(random), () => {
			changeJobCount(-1);
			jobs.delete(id.split('/')[0]!);
			applyGrantActions(server, queues[server]!.release(id, 1, clock.now()));
		});
	};

	const onArrival = (): void => {
		const jobId = String(nextJob++);
		const shuffledServers = Array.from({length: serverCount}, (_, index) => ({index, key: random()})).toSorted((a, b) => a.key - b.key);
		const copies = shuffledServers.slice(0, copiesPerJob).map(({index}) => [`${jobId}/${index}`, index] as const);
		jobs.set(jobId, {started: false, copies});
		changeJobCount(1);
		for (const [id, server] of copies) {
			const slotRequest: SlotRequest = {
				id, engine: '', host: '', leftMs: Number.POSITIVE_INFINITY, keys: [], prefillTokens: 0, alone: false, resumed: false,
				service: 's', serviceWeight: 1, workspace: 'w', workspaceWeight: 1, cost: 1,
			};
			clock.at(clock.now() + messageDelay, () => {
				// A copy is not enqueued if another copy of its job has started in the meantime.
				if (!jobs.get(jobId)?.started) {
					applyGrantActions(server, queues[server]!.ask(slotRequest, clock.now()));
				}
			});
		}

		if (nextJob < arrivalCount) {
			clock.at(clock.now() + (exponential(random) / (load * serverCount)), onArrival);
		}
	};

	clock.at(0, onArrival);
	clock.run();
	return jobTimeIntegral / lastChangeAt;
}
