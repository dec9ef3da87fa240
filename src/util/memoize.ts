/** Gives a function that runs `create` once for each first argument and keeps the result. */
export function memoize<A extends readonly unknown[], R>(create: (key: string, ...rest: A) => R): (key: string, ...rest: A) => R {
	const made = new Map<string, R>();
	return (key, ...rest) => {
		const known = made.get(key);
		if (known !== undefined) {
			return known;
		}

		const fresh = create(key, ...rest);
		made.set(key, fresh);
		return fresh;
	};
}
