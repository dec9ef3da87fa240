/** Wraps `create` so that it runs once for each first argument; later calls return the stored result. */
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
