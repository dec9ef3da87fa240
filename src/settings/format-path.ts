/** Formats the path of a value in a file, such as `upstreams[0].url`. */
export function formatPath(path: readonly PropertyKey[]): string {
	return path.map((part, index) => typeof part === 'number' ? `[${part}]` : `${index === 0 ? '' : '.'}${String(part)}`).join('') || '(root)';
}
