import {type ByteBudget} from './byte-budget.js';

/**
Creates a budget of bytes. What a holder keeps up to `freeBytes` is not counted, so that those who keep little go on while others have used up the budget.

@param limitBytes - What all holders together may keep beyond that.
*/
export function createByteBudget(limitBytes: () => number, freeBytes: number): ByteBudget {
	let totalBytes = 0;
	return {
		totalBytes: () => totalBytes,
		open() {
			let ownBytes = 0;
			const resize = (bytes: number): void => {
				totalBytes += bytes - ownBytes;
				ownBytes = bytes;
			};

			return {
				keep(bytes) {
					const counted = Math.max(0, bytes - freeBytes);
					if (counted > ownBytes && totalBytes + counted - ownBytes > limitBytes()) {
						return false;
					}

					resize(counted);
					return true;
				},
				close() {
					resize(0);
				},
			};
		},
	};
}
