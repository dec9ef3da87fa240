import {describe, expect, it} from 'vitest';
import {createLinkEstimator} from '../../src/decide/routing/create-link-estimator.js';
import {getFetchTimeoutMs} from '../../src/decide/context/get-fetch-timeout-ms.js';
import {shouldOffload} from '../../src/decide/context/should-offload.js';

const bytes = 64e6;

describe('the link estimator', () => {
	it('starts from the configured speed and counts the transfers under way', () => {
		const link = createLinkEstimator(1e9);
		expect(link.estimateTransferMs(bytes, 0)).toBeCloseTo(64);
		link.begin(bytes);
		expect(link.estimateTransferMs(bytes, 0)).toBeCloseTo(128);
	});

	it('learns that a link is slow', () => {
		const link = createLinkEstimator(1e9);
		for (let now = 0; now < 30_000; now += 640) {
			link.begin(bytes);
			link.end(bytes, 640, now);
		}

		expect(link.estimateTransferMs(bytes, 30_000)).toBeGreaterThan(300);
	});

	it('tries a slow link again at about its configured speed after a long pause', () => {
		const link = createLinkEstimator(1e9);
		for (let now = 0; now < 30_000; now += 640) {
			link.begin(bytes);
			link.end(bytes, 640, now);
		}

		expect(link.estimateTransferMs(bytes, 120_000)).toBeLessThan(70);
	});

	it('lets the backlog of other hosts drain in real time', () => {
		const link = createLinkEstimator(1e9);
		link.begin(bytes);
		link.end(bytes, 2064, 0);
		const atOnce = link.estimateTransferMs(bytes, 0);
		expect(atOnce).toBeGreaterThan(1000);
		expect(link.estimateTransferMs(bytes, 900)).toBeLessThan(atOnce - 800);
	});
});

describe('the timeout of a fetch', () => {
	it.each([[0, 200], [40, 200], [500, 2000]])('is, for an expected duration of %i ms, %i ms', (expectedMs, timeoutMs) => {
		expect(getFetchTimeoutMs(expectedMs)).toBe(timeoutMs);
	});
});

describe('the offloading of pieces to a store', () => {
	it.each([
		['a reused piece over a link with a small backlog', 2, 90, true],
		['a reused piece over a link with a large backlog', 2, 150, false],
		['a new piece over an idle link', 1, 0, true],
		['a new piece over a busy link', 1, 90, false],
	])('is decided for %s', (_name, uses, backlogMs, expected) => {
		expect(shouldOffload(uses, backlogMs)).toBe(expected);
	});
});
