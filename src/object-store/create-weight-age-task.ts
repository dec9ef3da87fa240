import {type WeightAge} from '../decide/weights/weight-age.js';
import {type WeightAges} from '../decide/weights/weight-ages.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type KnownHost} from '../reports/known-host.js';
import {sleepUntilTick} from '../util/sleep-until-tick.js';
import {sleep} from '../util/sleep.js';
import {type WeightAgeRecord} from './create-weight-age-record.js';

const intervalMs = 250;
/** What is not known is asked for again after this long, and after twice as long each time. */
const minPauseMs = 500;
const maxPauseMs = 8000;
const maxAsked = 3;
const callTimeoutMs = 250;
/** A host that starts does not wait longer than this for what it can't learn: an age that is not known counts as spent. */
const maxFirstLearningMs = 600;
const firstListCheckMs = 20;

/** The weights of one model on a listed engine. */
type EngineWeights = {
	/** Id and address of the engine. */
	readonly id: string;
	readonly address: string;
	readonly model: string;
	readonly version: number;
};

/** Dependencies of the task. */
type WeightAgeTaskOptions = {
	readonly weightAges: Pick<WeightAges, 'isUnknown' | 'recordStated' | 'getStaleForMs'>;
	readonly record: WeightAgeRecord;
	/** Whether this host is the one that keeps the record in the store. */
	readonly isRecorder: () => boolean;
	/** Returns the weights of the listed engines. */
	readonly listEngineWeights: () => readonly EngineWeights[];
	/** Reads the time by the engines' clock from an engine; `undefined` when it does not state it. Throws when the engine does not respond. */
	readonly readClock: (engine: EngineWeights) => Promise<number | undefined>;
	/** Whether this host has read the desired weights, from the store or from another host. */
	readonly areWeightsListed: () => boolean;
	/** An age that is not known for longer than this does not matter any more: it is spent, in milliseconds. */
	readonly maxUsefulMs: () => number;
	/** Returns the other hosts that can be asked. */
	readonly listHosts: () => readonly KnownHost[];
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
	readonly call: PeerRpc;
	readonly random: () => number;
};

/** Learns for how long weights have been the desired ones, where this host has not seen them change, and keeps the record of it in the store. */
type WeightAgeTask = {
	readonly start: () => void;
	/** Returns whether a host that has started knows the ages, or has had time to learn them. */
	readonly hasLearned: () => boolean;
	readonly stop: () => void;
};

/** Creates the task. It has work while engines have older weights than the desired ones. */
export function createWeightAgeTask(options: WeightAgeTaskOptions): WeightAgeTask {
	const {weightAges, record, isRecorder, listEngineWeights, readClock, areWeightsListed, maxUsefulMs, listHosts, now, call, random} = options;
	let hasStarted = false;
	let hasLearned = false;
	let hasStopped = false;
	/** Since when ages have not been known, and when they are asked for next. */
	let unknownSince: number | undefined;
	let askAt = Number.NEGATIVE_INFINITY;
	let pauseMs = minPauseMs;

	const pick = <T>(items: readonly T[]): T | undefined => items[Math.floor(random() * items.length)];

	const listUnknown = (): readonly EngineWeights[] => listEngineWeights().filter(({model, version}) => weightAges.isUnknown(model, version));

	/** Records ages that were stated at some time after `since`; they have grown by no more than the time from there. */
	const recordAges = (ages: readonly WeightAge[], since: number): void => {
		for (const [model, version, ageMs] of ages) {
			weightAges.recordStated([model, version, ageMs === null ? null : ageMs + (now() - since)]);
		}
	};

	const askHosts = async (): Promise<void> => {
		const asked = listHosts().map(host => ({host, draw: random()})).toSorted((a, b) => a.draw - b.draw).slice(0, maxAsked);
		await Promise.all(asked.map(async ({host}) => {
			const askedAt = now();
			try {
				const {ages} = await call(host.peers, 'gateway.weightAges', {}, {timeoutMs: callTimeoutMs});
				recordAges(ages, askedAt);
			} catch (error) {
				logFailure(error, {peer: host.host}, 'host does not say how old the named weights are', 'info');
			}
		}));
	};

	const readRecord = async (engine: EngineWeights): Promise<void> => {
		const askedAt = now();
		try {
			const clockMs = await readClock(engine);
			if (clockMs !== undefined) {
				recordAges(await record.read(clockMs), askedAt);
			}
		} catch (error) {
			logFailure(error, {upstream: engine.id}, 'record of the ages of weights could not be read', 'info');
		}
	};

	const learn = async (): Promise<void> => {
		if (listUnknown().length === 0) {
			unknownSince = undefined;
			pauseMs = minPauseMs;
			return;
		}

		unknownSince ??= now();
		if (now() < askAt || now() - unknownSince > maxUsefulMs()) {
			return;
		}

		await askHosts();
		const unknown = pick(listUnknown());
		if (unknown) {
			await readRecord(unknown);
			log.info({model: unknown.model, isKnown: listUnknown().length === 0}, 'ages of weights read from the record');
		}

		askAt = now() + pauseMs;
		pauseMs = Math.min(maxPauseMs, pauseMs * 2);
	};

	/** What is named after this host has read the list is learned of as it is named, or asked for. */
	const learnFirst = async (): Promise<void> => {
		while (!areWeightsListed() && !hasStopped) {
			await sleep(firstListCheckMs);
		}

		await Promise.race([learn(), sleep(maxFirstLearningMs)]);
	};

	const keepRecord = async (): Promise<void> => {
		const behind = isRecorder()
			? pick(listEngineWeights().filter(({model, version}) => weightAges.getStaleForMs(model, version) !== undefined && record.lacks(model)))
			: undefined;
		if (!behind) {
			return;
		}

		try {
			const clockMs = await readClock(behind);
			if (clockMs !== undefined) {
				await record.save(behind.model, clockMs);
			}
		} catch (error) {
			logFailure(error, {model: behind.model, upstream: behind.id}, 'ages of weights could not be recorded, retrying', 'info');
		}
	};

	const run = async (): Promise<void> => {
		await learnFirst();
		hasLearned = true;
		while (!hasStopped) {
			await sleepUntilTick(intervalMs);
			await learn();
			await keepRecord();
		}
	};

	return {
		start() {
			if (!hasStarted) {
				hasStarted = true;
				void run();
			}
		},
		hasLearned: () => hasLearned,
		stop() {
			hasStopped = true;
		},
	};
}
