/**
Names the software version of a start of an upstream that the list does not show yet: it may be any, so it is that of this start alone.

@param startedAt - Start time in Unix milliseconds, as the upstream says itself.
*/
export function nameUnlistedVersion(id: string, startedAt: number): string {
	return `unlisted start of ${id} at ${startedAt}`;
}
