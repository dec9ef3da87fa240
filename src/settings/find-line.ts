/** Returns the line of an offset, counted from 1. */
export function findLine(text: string, offset: number): number {
	return text.slice(0, offset).split('\n').length;
}
