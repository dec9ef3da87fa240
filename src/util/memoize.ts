/** Gives a function that runs `create` once for each first argument and keeps the result. */
export function memoize<A extends readonly unknown[], R>(create: (key: string, ...rest: A) => R): (key: string, ...rest: A) => R {
	const results = new Map<string, R>();
	return (key, ...rest) => {
		const cached = results.get(key);
		if (cached !== undefined) {
			return cached;
		}

		const result = create(key, ...rest);
		results.set(key, result);
		return result;
	};
}
