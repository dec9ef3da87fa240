/** Returns the `q`-quantile of numbers in ascending order; 0 for an empty array. */
export function quantile(ascending: readonly number[], q: number): number {
	return ascending[Math.min(ascending.length - 1, Math.floor(ascending.length * q))] ?? 0;
}
