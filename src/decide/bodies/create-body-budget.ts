import {type BodyAccount} from './body-account.js';
import {type BodyBudget} from './body-budget.js';
import {type BodyState} from './body-state.js';
import {selectIdlestBody} from './select-idlest-body.js';
import {selectBodyToClose} from './select-body-to-close.js';

/** A body up to this size is an ordinary request. */
const smallBytes = 64 * 1024;
/** Only small bodies use this part of the budget, so that ordinary requests go on beside large ones. */
const smallShare = 0.125;
/** Large bodies of one workspace or address use at most this part. */
const ownerShare = 0.75;
/** Each body that waits may have been read up to one buffer beyond its grants, and the system holds bytes for it. */
const waitingShare = 0.125;
const bytesPerWaiting = 64 * 1024;

type MutableState = {-readonly [Key in keyof BodyState]: BodyState[Key]} & {askedBytes: number; readonly onGrant: () => void; readonly onClose: () => void};

/**
Creates the budget of bytes that the bodies of all requests of a process may hold, from their arrival to the end of their forwarding. Answers crowds of bodies
that are each within the limits: those that fit go on, others wait, and what holds much without moving is given up for those that wait.

A body alone is always granted what it asks for; its size is limited elsewhere.

@param limitBytes - What bodies may hold at present.
*/
export function createBodyBudget(limitBytes: () => number): BodyBudget {
	const bodies = new Set<MutableState>();
	const waiting = new Set<MutableState>();
	const heldByOwner = new Map<string, number>();
	let heldBytes = 0;
	let peakBytes = 0;

	const chargeOwner = (owner: string, bytes: number): void => {
		const owned = (heldByOwner.get(owner) ?? 0) + bytes;
		if (owned > 0) {
			heldByOwner.set(owner, owned);
		} else {
			heldByOwner.delete(owner);
		}
	};

	const charge = (body: MutableState, bytes: number): void => {
		body.heldBytes += bytes;
		heldBytes += bytes;
		peakBytes = Math.max(peakBytes, heldBytes);
		if (!body.isSmall) {
			chargeOwner(body.owner, bytes);
		}
	};

	const fitsOwner = (body: MutableState, bytes: number): boolean => body.isSmall || (heldByOwner.get(body.owner) ?? 0) + bytes <= limitBytes() * ownerShare;

	const fits = (body: MutableState, bytes: number): boolean => {
		if (heldBytes === body.heldBytes) {
			return true;
		}

		const limit = limitBytes();
		return heldBytes + bytes <= limit * (body.isSmall ? 1 : 1 - smallShare) && fitsOwner(body, bytes);
	};

	const remove = (body: MutableState): boolean => {
		if (!bodies.delete(body)) {
			return false;
		}

		waiting.delete(body);
		charge(body, -body.heldBytes);
		return true;
	};

	const grantWaiting = (): void => {
		for (const body of waiting) {
			if (fits(body, body.askedBytes)) {
				waiting.delete(body);
				body.isWaiting = false;
				charge(body, body.askedBytes);
				body.onGrant();
			}
		}
	};

	/** Gives up bodies until `bytes` fit. */
	const makeRoom = (body: MutableState, bytes: number, now: number): 'granted' | 'waiting' | 'refused' => {
		while (!fits(body, bytes)) {
			const given = selectBodyToClose(bodies, body, !fitsOwner(body, bytes), now);
			if (given === body) {
				return 'refused';
			}

			if (!given) {
				return 'waiting';
			}

			remove(given);
			given.onClose();
		}

		return 'granted';
	};

	const take = (body: MutableState, bytes: number, now: number): 'granted' | 'waiting' | 'refused' => {
		if (!bodies.has(body)) {
			return 'refused';
		}

		if (body.isSmall && body.heldBytes + bytes > smallBytes) {
			body.isSmall = false;
			chargeOwner(body.owner, body.heldBytes);
		}

		const result = fits(body, bytes) ? 'granted' : makeRoom(body, bytes, now);
		if (result === 'granted') {
			if (body.isWaiting) {
				waiting.delete(body);
				body.isWaiting = false;
				body.movedAt = now;
			}

			charge(body, bytes);
			return result;
		}

		const maxWaiting = Math.max(1, limitBytes() * waitingShare / bytesPerWaiting);
		if (result === 'refused' || (!body.isWaiting && waiting.size >= maxWaiting)) {
			return 'refused';
		}

		body.isWaiting = true;
		body.askedBytes = bytes;
		waiting.add(body);
		return result;
	};

	return {
		open({owner, length, now, onGrant, onClose}): BodyAccount {
			const body: MutableState = {
				owner, isSmall: length === undefined || length <= smallBytes, heldBytes: 0, receivedBytes: 0, movedAt: now, isWaiting: false, isComplete: false, askedBytes: 0, onGrant, onClose,
			};
			bodies.add(body);
			return {
				take: (bytes, at) => take(body, bytes, at),
				receive(bytes, at) {
					body.receivedBytes += bytes;
					body.movedAt = at;
				},
				complete() {
					body.isComplete = true;
				},
				close() {
					// What was given up makes room for the body that asked.
					if (remove(body) && waiting.size > 0) {
						grantWaiting();
					}
				},
			};
		},
		giveUpOne(now) {
			const given = selectIdlestBody(bodies, now);
			if (!given) {
				return false;
			}

			remove(given);
			given.onClose();
			return true;
		},
		heldBytes: () => heldBytes,
		peakBytes: () => peakBytes,
	};
}
