import {bodyBlocks} from './body-blocks.js';

const minBlockBytes = 4096;
/** Below this length, copying byte by byte is faster than a call. */
const tinyBytes = 8;
const none: readonly Buffer[] = [];

/** Bytes that arrive in chunks of any size and are kept in few blocks of memory. */
type ChunkGatherer = {
	readonly append: (chunk: Buffer) => void;
	/** Returns all bytes in one buffer and drops them. */
	readonly take: () => Buffer;
	readonly drop: () => void;
};

/**
Gathers chunks into blocks, so that memory follows the bytes and not the number of chunks.

@param length - Announced length; `undefined` when there is none.
@param onReserve - Called before memory is reserved, with its size; for a body of announced length once, with the whole length.
*/
export function createChunkGatherer(length: number | undefined, onReserve: (bytes: number) => void): ChunkGatherer {
	let full: Buffer[] | undefined;
	let fullBytes = 0;
	let block: Buffer | undefined;
	let used = 0;

	const openBlock = (): Buffer => {
		if (block) {
			full ??= [];
			full.push(block);
			fullBytes += block.length;
		}

		const bytes = Math.min(bodyBlocks.blockBytes, length === undefined ? Math.max(minBlockBytes, fullBytes) : length - fullBytes);
		if (length === undefined || !block) {
			onReserve(length ?? bytes);
		}

		used = 0;
		block = bytes === bodyBlocks.blockBytes ? bodyBlocks.take() : Buffer.allocUnsafe(bytes);
		return block;
	};

	const clear = (): void => {
		full = undefined;
		block = undefined;
		fullBytes = 0;
		used = 0;
	};

	return {
		append(chunk) {
			let offset = 0;
			while (offset < chunk.length) {
				const target = block && used < block.length ? block : openBlock();
				const count = Math.min(chunk.length - offset, target.length - used);
				if (count < tinyBytes) {
					for (let index = 0; index < count; index++) {
						target[used + index] = chunk[offset + index]!;
					}
				} else {
					chunk.copy(target, used, offset, offset + count);
				}

				used += count;
				offset += count;
			}
		},
		take() {
			const last = block?.subarray(0, used) ?? Buffer.alloc(0);
			if (!full) {
				clear();
				return last;
			}

			const bytes = Buffer.concat([...full, last]);
			bodyBlocks.giveBack([...full, block!]);
			clear();
			return bytes;
		},
		drop() {
			bodyBlocks.giveBack(full ?? none);
			bodyBlocks.giveBack(block ? [block] : none);
			clear();
		},
	};
}
