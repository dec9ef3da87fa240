/** Gives the `q`-quantile of ascending numbers; 0 when there are none. */
export function quantile(ascending: readonly number[], q: number): number {
	return ascending[Math.min(ascending.length - 1, Math.floor(ascending.length * q))] ?? 0;
}
