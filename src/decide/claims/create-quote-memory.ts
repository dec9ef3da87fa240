import {type UpstreamView} from '../forwarding/upstream-view.js';
import {applyQuote} from './apply-quote.js';
import {type LoadQuote} from './load-quote.js';

/**
A quote counts in place of reports for this long. In a replay of a crest with 27 hosts and 40 upstreams, 100 and 200 ms gave the shortest waits;
at 400 ms the 90th percentile was a fifth longer.
*/
const validMs = 200;

/** The last quotes that a host received. Times are in milliseconds. */
type QuoteMemory = {
	/** Records a quote for a request of a priority. */
	readonly record: (upstreamId: string, priority: number, quote: LoadQuote, now: number) => void;
	/** Returns the state of an upstream with the last quote in place of the reported load, if there is a recent one. */
	readonly apply: (view: UpstreamView, priority: number, now: number) => UpstreamView;
};

/**
Creates the memory of the last quotes. Load pattern: reports so old that each request of a host would first claim a place at the same upstreams,
which its earlier requests have found busy.
*/
export function createQuoteMemory(): QuoteMemory {
	const quotes = new Map<string, {readonly quote: LoadQuote; readonly at: number}>();
	const toKey = (upstreamId: string, priority: number): string => `${priority}\n${upstreamId}`;
	let reviewedAt = 0;

	return {
		record(upstreamId, priority, quote, now) {
			if (now - reviewedAt >= validMs) {
				reviewedAt = now;
				for (const [key, {at}] of quotes) {
					if (now - at >= validMs) {
						quotes.delete(key);
					}
				}
			}

			quotes.set(toKey(upstreamId, priority), {quote, at: now});
		},
		apply(view, priority, now) {
			const known = quotes.get(toKey(view.upstream.id, priority));
			return known && now - known.at < validMs ? applyQuote(view, known.quote) : view;
		},
	};
}
