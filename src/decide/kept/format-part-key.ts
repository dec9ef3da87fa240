/** Writes the key of a part of a scope; ids of parts hold no line breaks. */
export function formatPartKey(scope: string, part: string): string {
	return `${scope}\n${part}`;
}
