import {type ClaimMessage} from '../../src/claims/claim-message.js';
import {type ClaimTask} from '../../src/claims/claim-task.js';
import {createClaimTask} from '../../src/claims/create-claim-task.js';
import {type KnownHost} from '../../src/reports/known-host.js';

/** What happens to a message: delays in milliseconds after which it arrives; none if it is lost, several if it arrives again. */
type Fate = (message: ClaimMessage, from: string, to: string) => readonly number[];

/** Hosts that claim places, in virtual time and without a network. */
export type ClaimNetwork = {
	readonly tasks: ReadonlyMap<string, ClaimTask>;
	/** Messages sent so far, those lost included. */
	readonly sent: ReadonlyArray<{readonly message: ClaimMessage; readonly from: string; readonly to: string}>;
	/** Hosts that take no messages and run no timers. */
	readonly frozen: Set<string>;
	/** Hosts that the others don't count as alive. */
	readonly dead: Set<string>;
	readonly setFate: (fate: Fate) => void;
	/** Lets virtual time pass. */
	readonly run: (ms: number) => Promise<void>;
	readonly now: () => number;
};

const transitMs = 1;
/** Order of what is due at once, as the event loop has it: timers, then messages, then deferred functions. */
const phases = {timer: 0, message: 1, deferred: 2} as const;

/** Creates hosts of one failure domain `d` that exchange claims. */
export function createClaimNetwork(names: readonly string[]): ClaimNetwork {
	let now = 10_000;
	let fate: Fate = () => [transitMs];
	let timers: Array<{readonly at: number; readonly host: string; readonly phase: number; readonly run: () => void}> = [];
	const sent: Array<{readonly message: ClaimMessage; readonly from: string; readonly to: string}> = [];
	const frozen = new Set<string>();
	const dead = new Set<string>();
	const tasks = new Map<string, ClaimTask>();
	const known = names.map(host => ({host, domain: 'd', reports: host}) as KnownHost);
	const at = (time: number, host: string, phase: keyof typeof phases, run: () => void): void => {
		timers.push({
			at: time, host, phase: phases[phase], run,
		});
	};

	let aliveKey = '';
	const aliveOf = new Map<string, readonly KnownHost[]>();
	for (const host of names) {
		const others = known.filter(other => other.host !== host);
		tasks.set(host, createClaimTask({
			self: {host, domain: 'd'},
			alive() {
				const key = [...dead].join(' ');
				if (key !== aliveKey) {
					aliveKey = key;
					aliveOf.clear();
				}

				const list = aliveOf.get(host) ?? others.filter(other => !dead.has(other.host));
				aliveOf.set(host, list);
				return list;
			},
			listOthers: () => others,
			send(message, to) {
				sent.push({message, from: host, to});
				for (const delay of fate(message, host, to)) {
					// What is sent is what arrives, also where the sender changes it later.
					const copy = structuredClone(message);
					at(now + delay, to, 'message', () => {
						tasks.get(to)!.receive(copy);
					});
				}
			},
			firstNumber: 1000,
			now: () => now,
			after(run, ms) {
				at(now + ms, host, 'timer', run);
			},
			defer(run) {
				at(now, host, 'deferred', run);
			},
		}));
	}

	return {
		tasks,
		sent,
		frozen,
		dead,
		setFate(changed) {
			fate = changed;
		},
		async run(ms) {
			const end = now + ms;
			for (;;) {
				// Promises that a step has settled go on before the next one.
				await new Promise(resolve => {
					setImmediate(resolve);
				});
				const next = timers.filter(timer => timer.at <= end && !frozen.has(timer.host)).toSorted((a, b) => Math.max(now, a.at) - Math.max(now, b.at) || a.phase - b.phase || a.at - b.at)[0];
				if (!next) {
					break;
				}

				timers = timers.filter(timer => timer !== next);
				now = Math.max(now, next.at);
				next.run();
			}

			now = end;
		},
		now: () => now,
	};
}
