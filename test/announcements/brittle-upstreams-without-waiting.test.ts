// Guards against docs/incidents/brittle-upstreams-fall-over.md.
import {describe, test} from 'vitest';
import {listBrittleCases} from '../support/list-brittle-cases.js';
import {playBrittleUpstreams} from '../support/play-brittle-upstreams.js';

/** One after the other: a process with several such systems can't offer the load. */
describe('brittle upstreams at which nothing may wait', () => {
	test.each(listBrittleCases('none may wait', 0))('do not fall over, and their room is used: %s', async (_name, each) => playBrittleUpstreams(each));
});
