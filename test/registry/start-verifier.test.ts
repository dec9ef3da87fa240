// Guards against docs/incidents/upstreams-that-start-again-unlisted.md.
import {describe, expect, test} from 'vitest';
import {createStartVerifier} from '../../src/registry/create-start-verifier.js';
import {testUpstream} from '../support/create-test-registry.js';

const at = 100_000;
const never = Number.NEGATIVE_INFINITY;

/** What a host knows, and what the upstream and the store answer; times are ages in milliseconds. */
type Case = {
	readonly confirmedAgeMs?: number;
	readonly openedAgeMs?: number;
	readonly brokenAgeMs?: number;
	/** When the upstream was asked, and said which start it is. */
	readonly askedAgeMs?: number;
	readonly untoldAgeMs?: number;
	readonly hasIdle?: boolean;
	readonly mustMatch?: boolean;
	readonly isInStep?: boolean;
	readonly answer?: 'same' | 'other' | 'untold' | 'silent';
	readonly isConfirmed?: boolean;
	/** Time that the answer takes. */
	readonly answerMs?: number;
	readonly isLinked?: boolean;
};

type Result = {readonly isVerified: boolean; readonly asked: number; readonly ejected: number; readonly unlisted: number};

const toTime = (ageMs: number | undefined): number => ageMs === undefined ? never : at - ageMs;

async function play(played: Case): Promise<Result> {
	const {confirmedAgeMs = 500, mustMatch = true, isInStep = false, answer = 'same', isConfirmed = false, answerMs = 1, isLinked = true} = played;
	let time = at;
	const counts = {asked: 0, ejected: 0, unlisted: 0};
	const verify = createStartVerifier({
		registry: {
			contact: () => ({
				openedAt: toTime(played.openedAgeMs), brokenAt: toTime(played.brokenAgeMs), askedAt: toTime(played.askedAgeMs), toldAt: toTime(played.askedAgeMs),
				untoldAt: toTime(played.untoldAgeMs), hasIdle: played.hasIdle ?? true,
			}),
			recordStart: (_id, startedAt) => startedAt === undefined || startedAt === testUpstream.startedAt,
			ejectUntil() {
				counts.ejected++;
			},
		},
		confirmedAgeMs: () => confirmedAgeMs,
		isInStep: () => isInStep,
		async readStart() {
			counts.asked++;
			await Promise.resolve();
			time += answerMs;
			if (answer === 'silent') {
				throw new Error('no response');
			}

			return {same: testUpstream.startedAt, other: testUpstream.startedAt! + 1, untold: undefined}[answer];
		},
		confirmList: async () => isConfirmed,
		verifyLink: async () => isLinked,
		onUnlisted() {
			counts.unlisted++;
		},
		now: () => time,
	});
	const results = await Promise.all([verify(testUpstream, mustMatch), verify(testUpstream, mustMatch)]);
	expect(results[0]).toBe(results[1]);
	return {isVerified: results[0], ...counts};
}

const fine: Result = {
	isVerified: true, asked: 0, ejected: 0, unlisted: 0,
};
const asked: Result = {...fine, asked: 1};

describe('the start of an upstream at which a stream is placed', () => {
	test.each<readonly [string, Case, Result]>([
		['is the listed one while a connection lives that is older than the list', {openedAgeMs: 600}, fine],
		['is the listed one right after the list was confirmed', {openedAgeMs: 350}, fine],
		['is asked for once after a connection was opened since', {openedAgeMs: 200}, asked],
		['is not asked for where it has been since', {openedAgeMs: 200, askedAgeMs: 150}, fine],
		['is asked for before a connection is opened', {openedAgeMs: 600, hasIdle: false}, asked],
		['is asked for after a connection broke', {openedAgeMs: 600, brokenAgeMs: 499}, asked],
		['is not asked for where the list was confirmed since', {openedAgeMs: 600, brokenAgeMs: 501}, fine],
		['is asked for where the store has never confirmed the list', {openedAgeMs: 600, confirmedAgeMs: Number.POSITIVE_INFINITY}, asked],
		['is not asked for by a stream that begins in step with the store', {openedAgeMs: 200, mustMatch: false, isInStep: true}, fine],
		['is asked for by a stream that begins out of step', {openedAgeMs: 200, mustMatch: false}, asked],
		['is asked for by a stream that begins after a connection broke', {brokenAgeMs: 100, mustMatch: false, isInStep: true}, asked],
		['is another one', {brokenAgeMs: 100, answer: 'other'}, {...asked, isVerified: false, unlisted: 1}],
		['is another one where a stream begins', {brokenAgeMs: 100, mustMatch: false, answer: 'other'}, {...asked, isVerified: false, unlisted: 1}],
		['is not known where no response comes', {brokenAgeMs: 100, answer: 'silent'}, {...asked, isVerified: false, ejected: 2}],
		['is not known where no response comes and the link is lost', {brokenAgeMs: 100, answer: 'silent', isLinked: false}, {...asked, isVerified: false}],
		['is the listed one where no response comes, and the store confirms the list', {brokenAgeMs: 100, answer: 'silent', isConfirmed: true}, asked],
		['is known too late for the placement', {brokenAgeMs: 100, answerMs: 60}, {...asked, isVerified: false}],
		['is not asked for again by a stream that begins where the upstream does not say', {brokenAgeMs: 100, untoldAgeMs: 50, mustMatch: false}, fine],
		['is asked for again by a stream that has begun where the upstream did not say', {brokenAgeMs: 100, untoldAgeMs: 50}, asked],
		['is not asked for again where the upstream does not say, and nothing broke', {openedAgeMs: 100, untoldAgeMs: 50}, fine],
		['is not known where the upstream does not say, and the store does not confirm the list', {brokenAgeMs: 100, answer: 'untold'}, {...asked, isVerified: false, ejected: 2}],
		['is the listed one where the upstream does not say, and the store confirms the list', {brokenAgeMs: 100, answer: 'untold', isConfirmed: true}, asked],
		['is taken for the listed one where the upstream does not say, and nothing broke', {openedAgeMs: 200, answer: 'untold'}, asked],
		['is taken for the listed one by a stream that begins where the upstream does not say', {brokenAgeMs: 100, answer: 'untold', mustMatch: false}, asked],
	])('%s', async (_name, played, expected) => {
		expect(await play(played)).toEqual(expected);
	});
});
