/** Wraps `compute` so that it runs once for each object for as long as that is in use. Results for other arguments are not kept. */
export function memoizeWeakly<A, R>(compute: (argument: A) => R): (argument: A) => R {
	const results = new WeakMap<object, {readonly result: R}>();
	return argument => {
		if (typeof argument !== 'object' || argument === null) {
			return compute(argument);
		}

		const cached = results.get(argument) ?? {result: compute(argument)};
		results.set(argument, cached);
		return cached.result;
	};
}
