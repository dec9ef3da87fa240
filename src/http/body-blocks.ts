const blockBytes = 64 * 1024;
/** 32 MiB. Blocks beyond that are left to the garbage collection. */
const maxFreeBlocks = 512;
const free: Buffer[] = [];

/**
Blocks of memory for bodies that are arriving, which are used again. Without that, blocks of bodies that are given up stay until the next full garbage
collection, for which the runtime waits until 64 MB of them have gathered.
*/
export const bodyBlocks = {
	blockBytes,
	take: (): Buffer => free.pop() ?? Buffer.allocUnsafeSlow(blockBytes),
	/** Takes back blocks to which nothing refers any more. */
	giveBack(blocks: readonly Buffer[]): void {
		for (const block of blocks) {
			if (block.length === blockBytes && free.length < maxFreeBlocks) {
				free.push(block);
			}
		}
	},
} as const;
