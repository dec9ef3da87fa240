import {canTellOthers} from '../decide/streams/can-tell-others.js';
import {type HostReach} from '../decide/streams/host-reach.js';
import {isInStep} from '../decide/streams/is-in-step.js';
import {type KnownHost} from '../reports/known-host.js';
import {logFailure} from '../observe/log-failure.js';
import {type StandstillDetector} from '../util/create-standstill-detector.js';
import {sleep} from '../util/sleep.js';
import {type VersionKnowledge} from './version-knowledge.js';

/** Dependencies of the version knowledge. */
type VersionKnowledgeOptions = {
	/** Returns the time since the store confirmed the list of upstreams, in milliseconds; `undefined` when it never did. */
	readonly confirmedAgeMs: () => number | undefined;
	/** Reads the list of upstreams from the store. */
	readonly refresh: () => Promise<void>;
	/** Returns the other hosts that were heard of late. */
	readonly listHeard: () => readonly KnownHost[];
	/** Returns whether this host and the others hear each other. */
	readonly getReach: () => HostReach;
	/** Monotonic clock in milliseconds, by which hosts are heard. */
	readonly now: () => number;
	readonly standstill: StandstillDetector;
};

/** Creates what tells a host that has heard of one version from one that can be sure that there is one. */
export function createVersionKnowledge({confirmedAgeMs, refresh, listHeard, getReach, now, standstill}: VersionKnowledgeOptions): VersionKnowledge {
	return {
		isInStep() {
			return isInStep({
				confirmedAgeMs: confirmedAgeMs(),
				runningForMs: standstill.runningForMs(),
				heard: listHeard().map(({heardAt, everyMs}) => ({ageMs: now() - heardAt!, everyMs})),
			});
		},
		async confirm(timeoutMs) {
			const reading = refresh().then(() => true).catch((error: unknown) => {
				logFailure(error, {}, 'the list of upstreams could not be confirmed', 'info');
				return false;
			});
			return Promise.race([reading, sleep(timeoutMs).then(() => false)]);
		},
		listHeard,
		canTellOthers: () => canTellOthers({...getReach(), confirmedAgeMs: confirmedAgeMs()}),
		isInReach: () => getReach().inReach > 0,
		tick: standstill.tick,
	};
}
