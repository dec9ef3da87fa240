/** Adds tokens of a priority, or takes them away; a priority without tokens has no entry. */
export function addTokens(tokens: Map<number, number>, priority: number, added: number): void {
	const total = (tokens.get(priority) ?? 0) + added;
	if (total > 0) {
		tokens.set(priority, total);
	} else {
		tokens.delete(priority);
	}
}
