import {describe, expect, test} from 'vitest';
import {decodeStart} from '../../platform/decode-start.js';

describe('the start time in the report of an engine', () => {
	test.each([
		['a report with it', '{"stage":"both","born":1700000000001}', 1_700_000_000_001],
		['a report without it', '{"stage":"both"}', undefined],
		['a fraction', '{"born":1.5}', undefined],
		['a text', '{"born":"1700000000001"}', undefined],
		['no object', '[]', undefined],
		['a part of a report', '{"born":17', undefined],
		['nothing', '', undefined],
	])('is read from %s', (_name, text, expected) => {
		expect(decodeStart(text)).toBe(expected);
	});
});
