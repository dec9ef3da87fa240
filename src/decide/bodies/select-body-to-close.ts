import {type BodyState} from './body-state.js';

/** A body of which no byte has arrived for so long is closed first. Senders on working connections pause for less. */
const stallMs = 1000;

/** Returns the body that holds most; of equal ones, the one that moved least recently. */
function findLargest<Body extends BodyState>(bodies: readonly Body[]): Body | undefined {
	let largest = bodies[0];
	for (const body of bodies) {
		if (body.heldBytes > largest!.heldBytes || (body.heldBytes === largest!.heldBytes && body.movedAt < largest!.movedAt)) {
			largest = body;
		}
	}

	return largest;
}

/**
Selects the body that is given up when the budget has no room for `asking`. Answers crowds of bodies that stop short of their end and stay open.

A body that has stalled goes first, the one that holds most. A small body may also displace a large one that moves, but nothing displaces a small body that
moves. Large bodies that all wait for each other would end together, so the one that has received least gives way.

@param isOwnerFull - Whether it is the owner's part of the budget that is used up; then only its own bodies make room.
@returns The body, `asking` itself if it gives way, or `undefined` if it waits.
*/
export function selectBodyToClose<Body extends BodyState>(bodies: Iterable<Body>, asking: Body, isOwnerFull: boolean, now: number): Body | undefined {
	const arriving = [...bodies].filter(body => body !== asking && !body.isComplete && body.heldBytes > 0 && (!isOwnerFull || body.owner === asking.owner));
	const large = arriving.filter(body => !body.isSmall);
	const isStalled = (body: BodyState): boolean => !body.isWaiting && now - body.movedAt >= stallMs;
	const stalled = findLargest(large.filter(body => isStalled(body)));
	if (stalled) {
		return stalled;
	}

	if (asking.isSmall) {
		return findLargest(arriving.filter(body => body.isSmall && isStalled(body))) ?? findLargest(large);
	}

	if (large.length === 0 || !large.every(body => body.isWaiting)) {
		return undefined;
	}

	let least = asking;
	for (const body of large) {
		if (body.receivedBytes < least.receivedBytes) {
			least = body;
		}
	}

	return least;
}
