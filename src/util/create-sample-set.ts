import {type SampleSet} from './sample-set.js';

/** Creates an empty sample set. */
export function createSampleSet<T>(): SampleSet<T> {
	const items: T[] = [];
	const indexes = new Map<T, number>();
	return {
		add(item) {
			if (!indexes.has(item)) {
				indexes.set(item, items.length);
				items.push(item);
			}
		},
		delete(item) {
			const index = indexes.get(item);
			if (index === undefined) {
				return;
			}

			const last = items.pop()!;
			if (last !== item) {
				items[index] = last;
				indexes.set(last, index);
			}

			indexes.delete(item);
		},
		draw: (count, random) => items.length === 0 ? [] : Array.from({length: count}, () => items[Math.floor(random() * items.length)]!),
		size: () => items.length,
	};
}
