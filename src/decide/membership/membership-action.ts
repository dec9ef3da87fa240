import {type Member} from './member.js';

/** An action that the membership task has to carry out. */
export type MembershipAction
	= | {readonly kind: 'probe'; readonly target: Member}
	/** The target did not answer directly; `helpers` have to probe it. */
		| {readonly kind: 'probe-through'; readonly target: Member; readonly helpers: readonly Member[]}
	/** The process was paused for at least the suspicion timeout; grants and ownership from before the pause are invalid. */
		| {readonly kind: 'long-pause'; readonly pausedMs: number}
	/** The members changed; owners have to be recomputed. */
		| {readonly kind: 'changed'; readonly members: readonly Member[]};
