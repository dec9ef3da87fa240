import {type Member} from './member.js';

/** What the membership task has to do. */
export type MembershipAction
	= | {readonly kind: 'probe'; readonly target: Member}
		| {readonly kind: 'probe-through'; readonly target: Member; readonly helpers: readonly Member[]}
	/** The process was stopped for longer than the suspicion time; everything held for others is void. */
		| {readonly kind: 'frozen'; readonly pausedMs: number}
	/** Members changed; owners have to be computed anew. */
		| {readonly kind: 'changed'; readonly members: readonly Member[]};
