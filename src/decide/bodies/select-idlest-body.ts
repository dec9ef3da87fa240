import {type BodyState} from './body-state.js';

/** A body moves if bytes arrived within this time. */
const movingMs = 1000;

/** Returns the body that is arriving and has not moved for the longest time. Answers crowds of connections whose requests do not end. */
export function selectIdlestBody<Body extends BodyState>(bodies: Iterable<Body>, now: number): Body | undefined {
	let idlest: Body | undefined;
	for (const body of bodies) {
		if (!body.isComplete && now - body.movedAt >= movingMs && (!idlest || body.movedAt < idlest.movedAt)) {
			idlest = body;
		}
	}

	return idlest;
}
