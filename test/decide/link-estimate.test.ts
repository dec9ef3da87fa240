import {describe, expect, it} from 'vitest';
import {createLinkEstimator} from '../../src/decide/routing/create-link-estimator.js';
import {getFetchTimeoutMs} from '../../src/decide/context/get-fetch-timeout-ms.js';
import {shouldOffload} from '../../src/decide/context/should-offload.js';

const bytes = 64e6;

describe('the estimate of a link', () => {
	it('starts from the stated speed and counts what is under way', () => {
		const link = createLinkEstimator(1e9);
		expect(link.estimateTransferMs(bytes, 0)).toBeCloseTo(64);
		link.begin(bytes);
		expect(link.estimateTransferMs(bytes, 0)).toBeCloseTo(128);
	});

	it('learns a slow link', () => {
		const link = createLinkEstimator(1e9);
		for (let now = 0; now < 30_000; now += 640) {
			link.begin(bytes);
			link.end(bytes, 640, now);
		}

		expect(link.estimateTransferMs(bytes, 30_000)).toBeGreaterThan(300);
	});

	it('tries a link again that was slow and has not been used since', () => {
		const link = createLinkEstimator(1e9);
		for (let now = 0; now < 30_000; now += 640) {
			link.begin(bytes);
			link.end(bytes, 640, now);
		}

		expect(link.estimateTransferMs(bytes, 120_000)).toBeLessThan(70);
	});

	it('lets a backlog of others drain in real time', () => {
		const link = createLinkEstimator(1e9);
		link.begin(bytes);
		link.end(bytes, 2064, 0);
		const atOnce = link.estimateTransferMs(bytes, 0);
		expect(atOnce).toBeGreaterThan(1000);
		expect(link.estimateTransferMs(bytes, 900)).toBeLessThan(atOnce - 800);
	});
});

describe('the patience with a fetch', () => {
	it.each([[0, 200], [40, 200], [500, 2000]])('for an expected %i ms is %i ms', (expectedMs, timeoutMs) => {
		expect(getFetchTimeoutMs(expectedMs)).toBe(timeoutMs);
	});
});

describe('the writing of pieces to a store', () => {
	it.each([
		['a piece that returned, while little is before it', 2, 90, true],
		['a piece that returned, while the link is behind', 2, 150, false],
		['a new piece over an idle link', 1, 0, true],
		['a new piece over a busy link', 1, 90, false],
	])('is decided for %s', (_name, uses, backlogMs, expected) => {
		expect(shouldOffload(uses, backlogMs)).toBe(expected);
	});
});
