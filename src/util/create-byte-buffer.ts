import {type ByteBuffer} from './byte-buffer.js';

const minCapacityBytes = 256;
const empty = Buffer.alloc(0);

/** Creates a buffer whose work and memory are in proportion to the bytes appended, in however small pieces they arrive. */
export function createByteBuffer(): ByteBuffer {
	let bytes = empty;
	let length = 0;

	const reserve = (needed: number): void => {
		if (needed <= bytes.length) {
			return;
		}

		const larger = Buffer.allocUnsafe(Math.max(minCapacityBytes, needed, 2 * bytes.length));
		bytes.copy(larger, 0, 0, length);
		bytes = larger;
	};

	const clear = (): void => {
		bytes = empty;
		length = 0;
	};

	return {
		length: () => length,
		append(chunk) {
			reserve(length + chunk.length);
			chunk.copy(bytes, length);
			length += chunk.length;
		},
		take() {
			const taken = bytes.subarray(0, length);
			clear();
			return taken;
		},
		clear,
	};
}
