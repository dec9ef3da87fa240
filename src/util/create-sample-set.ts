import {type SampleSet} from './sample-set.js';

/** Creates an empty sample set. */
export function createSampleSet<T>(): SampleSet<T> {
	const items: T[] = [];
	const places = new Map<T, number>();
	return {
		add(item) {
			if (!places.has(item)) {
				places.set(item, items.length);
				items.push(item);
			}
		},
		delete(item) {
			const place = places.get(item);
			if (place === undefined) {
				return;
			}

			const last = items.pop()!;
			if (last !== item) {
				items[place] = last;
				places.set(last, place);
			}

			places.delete(item);
		},
		draw: (count, random) => items.length === 0 ? [] : Array.from({length: count}, () => items[Math.floor(random() * items.length)]!),
		size: () => items.length,
	};
}
