const minStatus = 200;
const maxStatus = 599;

/** Returns whether a status is one that ends an exchange by RFC 9110; others, such as 0 or 600, are none that a caller could be told. */
export function isFinalStatus(status: number): boolean {
	return status >= minStatus && status <= maxStatus;
}
