const maxBacklogMs = 100;
const maxFirstUseBacklogMs = 20;

/**
Decides whether a piece is written to its store now. Fetches have precedence over writes, so nothing is written while the link's backlog is
above `maxBacklogMs`. A piece that has been used only once is written only over an almost idle link, since it may never be reused.

@param uses - Number of uses of the piece, including this one.
@param backlogMs - Time that the link needs for its pending transfers, in milliseconds.
*/
export function shouldOffload(uses: number, backlogMs: number): boolean {
	return backlogMs <= (uses > 1 ? maxBacklogMs : maxFirstUseBacklogMs);
}
