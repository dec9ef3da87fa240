/**
Places are claimed where the work placed since the last reports is above this share of the objective: the random term of the choice by reports
is four times that work, so it is the whole objective here. Claims cost processor time on every host, so they are not used below.
*/
const startShare = 1 / 4;
/** Claims go on down to this share, so that hosts with nearly the same load don't differ in whether their requests are in the ledgers. */
const stopShare = 1 / 8;

/** Creates the function that returns whether places are claimed for the requests of a route. Times are in milliseconds. */
export function createClaimSwitch() {
	let isOn = false;
	return (unseenMs: number, objectiveMs: number): boolean => {
		isOn = unseenMs > objectiveMs * (isOn ? stopShare : startShare);
		return isOn;
	};
}
