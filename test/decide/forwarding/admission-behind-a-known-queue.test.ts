import {expect, test} from 'vitest';
import {decideAdmission} from '../../../src/decide/forwarding/decide-admission.js';

const long = {
	firstByteMs: 480, waitedMs: 0, objectiveMs: 608, urgentObjectiveMs: 404, isQueueing: true, draw: 0,
};

// Guards against long prompts that are refused again and again at a crest, because their own prefill counts against the objective of shorter, more urgent ones.
test.each([
	['a queue that is known and leaves the urgent ones in time', {...long, queueMs: 250}, true],
	['a queue that is known and would make the urgent ones late', {...long, queueMs: 430}, false],
	['a queue known from reports only', long, false],
	['a known queue, but a first byte that is too late for its own objective', {...long, firstByteMs: 800, queueMs: 250}, false],
	['nobody waiting', {...long, firstByteMs: 800, isQueueing: false}, true],
	['no more urgent requests', {...long, urgentObjectiveMs: undefined}, true],
])('a less urgent prompt is admitted or not behind %s', (_name, input, isAdmitted) => {
	expect(decideAdmission(input).isAdmitted).toBe(isAdmitted);
});
