const maxBacklogMs = 100;
const maxFirstUseBacklogMs = 20;

/**
Decides whether a piece is written to its store now. Fetches go before writes, so nothing is written while the link is
behind; a piece that has been used once only goes over an idle link, since it may never return.

@param uses - How often the piece has been run, this time included.
@param backlogMs - How far the link is behind, in milliseconds.
*/
export function shouldOffload(uses: number, backlogMs: number): boolean {
	return backlogMs <= (uses > 1 ? maxBacklogMs : maxFirstUseBacklogMs);
}
