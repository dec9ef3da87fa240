/** A response of the store arrived after one of a newer epoch. */
export class OlderEpochError extends Error {
	constructor(epoch: number, current: number) {
		super(`late response of epoch ${epoch} of the store, which is in epoch ${current}`);
		this.name = 'OlderEpochError';
	}
}
