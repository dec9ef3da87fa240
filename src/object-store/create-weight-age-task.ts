import {type WeightAges} from '../decide/weights/weight-ages.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type KnownHost} from '../reports/known-host.js';
import {sleepUntilTick} from '../util/sleep-until-tick.js';
import {sleep} from '../util/sleep.js';
import {type WeightAgeRecord} from './create-weight-age-record.js';

const intervalMs = 250;
/** What is not known is asked for once in this many intervals. */
const intervalsPerAsking = 2;
const maxAsked = 3;
const callTimeoutMs = 250;
/** A host that starts does not wait longer than this for what it can't learn: an age that is not known counts as spent. */
const maxFirstLearningMs = 600;

/** The weights of one model on a listed engine. */
type EngineWeights = {
	/** Address of the engine. */
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
	readonly readClock: (address: string) => Promise<number | undefined>;
	readonly alive: () => readonly KnownHost[];
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
	const {weightAges, record, isRecorder, listEngineWeights, readClock, alive, call, random} = options;
	let hasStarted = false;
	let hasLearned = false;
	let hasStopped = false;

	const pick = <T>(items: readonly T[]): T | undefined => items[Math.floor(random() * items.length)];

	const listUnknown = (): readonly EngineWeights[] => listEngineWeights().filter(({model, version}) => weightAges.isUnknown(model, version));

	const askHosts = async (): Promise<void> => {
		const asked = alive().map(host => ({host, draw: random()})).toSorted((a, b) => a.draw - b.draw).slice(0, maxAsked);
		await Promise.all(asked.map(async ({host}) => {
			try {
				const {ages} = await call(host.peers, 'gateway.weightAges', {}, {timeoutMs: callTimeoutMs});
				for (const age of ages) {
					weightAges.recordStated(age);
				}
			} catch (error) {
				logFailure(error, {peer: host.host}, 'host does not say how old the named weights are', 'info');
			}
		}));
	};

	const readRecord = async ({address}: EngineWeights): Promise<void> => {
		try {
			const clockMs = await readClock(address);
			for (const age of clockMs === undefined ? [] : await record.read(clockMs)) {
				weightAges.recordStated(age);
			}
		} catch (error) {
			logFailure(error, {upstream: address}, 'record of the ages of weights could not be read', 'info');
		}
	};

	const learn = async (): Promise<void> => {
		if (listUnknown().length === 0) {
			return;
		}

		await askHosts();
		const unknown = pick(listUnknown());
		if (unknown) {
			await readRecord(unknown);
			log.info({model: unknown.model, isKnown: listUnknown().length === 0}, 'ages of weights read from the record');
		}
	};

	const keepRecord = async (): Promise<void> => {
		const behind = pick(listEngineWeights().filter(({model, version}) => weightAges.getStaleForMs(model, version) !== undefined && record.lacks(model)));
		if (!behind || !isRecorder()) {
			return;
		}

		try {
			const clockMs = await readClock(behind.address);
			if (clockMs !== undefined) {
				await record.save(behind.model, clockMs);
			}
		} catch (error) {
			logFailure(error, {model: behind.model, upstream: behind.address}, 'ages of weights could not be recorded, retrying', 'info');
		}
	};

	const run = async (): Promise<void> => {
		await Promise.race([learn(), sleep(maxFirstLearningMs)]);
		hasLearned = true;
		for (let interval = 1; !hasStopped; interval++) {
			await sleepUntilTick(intervalMs);
			if (interval % intervalsPerAsking === 0) {
				await learn();
			}

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
