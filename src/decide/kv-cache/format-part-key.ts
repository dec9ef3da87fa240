/** Formats the key of a part in a scope. Part ids contain no line breaks, so keys are unique. */
export function formatPartKey(scope: string, part: string): string {
	return `${scope}\n${part}`;
}
