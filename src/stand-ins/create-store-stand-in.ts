import {computeSha256} from '../util/compute-sha256.js';
import {sleep} from '../util/sleep.js';
import {serveStandIn} from './serve-stand-in.js';
import {type StandIn} from './stand-in.js';

/** State of a block of the store stand-in. */
type Block = {
	readonly block: number;
	/** Increases with each reservation of the block, and when a restart loses its data. */
	readonly generation: number;
	readonly key: string;
	/** Number passed with the reservation; `/list` returns only blocks with the requested tags. */
	readonly tag: number;
	readonly bytes: number;
	/** Sequence number of the last change to the block. */
	readonly seq: number;
	readonly state: 'reserved' | 'sealed' | 'free';
	readonly data: string;
	readonly checksum: string;
	readonly tier: 'memory' | 'disk';
};

/** Faults and link speed of the store stand-in, set over `POST /control`. */
type StoreFaults = {
	/** Closes every connection without a response. */
	readonly down: boolean;
	/** Link speed in bytes per millisecond; the link carries one transfer at a time. */
	readonly linkBytesPerMs: number;
	/** Makes `/list` report all blocks as sealed, also those that are free or reserved. */
	readonly lies: boolean;
	/** Makes reads skip the check of a block's generation and state and return its current data. */
	readonly unchecked: boolean;
};

/**
Creates a stand-in for a KV store: numbered blocks with generations that are reserved, written, sealed and freed, a memory
and a disk tier, and a link of limited speed. `POST /restart` drops the data of the memory tier.
*/
export async function createStoreStandIn(address = '127.0.0.1:0', options: {readonly blocks?: number; readonly memoryBlocks?: number; readonly faults?: Partial<StoreFaults>} = {}): Promise<StandIn> {
	const {blocks: blockCount = 4000, memoryBlocks = 1000} = options;
	let faults: StoreFaults = {
		down: false, linkBytesPerMs: 1_000_000, lies: false, unchecked: false, ...options.faults,
	};
	const blocks = new Map<number, Block>();
	let seq = 0;
	let linkFreeAt = 0;

	const transfer = async (bytes: number): Promise<void> => {
		linkFreeAt = Math.max(linkFreeAt, Date.now()) + (bytes / faults.linkBytesPerMs);
		await sleep(linkFreeAt - Date.now());
	};

	const putBlock = (block: Block): Block => {
		seq++;
		const stored = {...block, seq};
		blocks.set(block.block, stored);
		return stored;
	};

	const reserve = ({key, bytes, tag}: {readonly key: string; readonly bytes: number; readonly tag: number}): readonly [number, unknown] => {
		const freeBlock = [...blocks.values()].find(entry => entry.state === 'free')?.block ?? blocks.size;
		if (freeBlock >= blockCount) {
			return [507, {error: 'full'}];
		}

		const {block, generation} = putBlock({
			block: freeBlock, generation: (blocks.get(freeBlock)?.generation ?? 0) + 1, key, tag, bytes, seq, state: 'reserved',
			data: blocks.get(freeBlock)?.data ?? '', checksum: '', tier: freeBlock < memoryBlocks ? 'memory' : 'disk',
		});
		return [200, {block, generation}];
	};

	const read = async (block: Block, generation: number): Promise<readonly [number, unknown]> => {
		if (!faults.unchecked && (block.generation !== generation || block.state !== 'sealed')) {
			return [409, {error: 'other generation or not sealed'}];
		}

		await transfer(block.bytes);
		const current = blocks.get(block.block)!;
		return [200, {data: current.data, generation: current.generation}];
	};

	/** Writes a block in two steps, half of the data before the transfer, so that a read without checks can return partial data. */
	const write = async (block: Block, generation: number, data: string): Promise<readonly [number, unknown]> => {
		if (block.generation !== generation || block.state !== 'reserved') {
			return [409, {error: 'not reserved under this generation'}];
		}

		putBlock({...block, data: data.slice(0, data.length / 2)});
		await transfer(block.bytes);
		if (blocks.get(block.block)!.generation !== generation) {
			return [409, {error: 'freed during the write'}];
		}

		putBlock({...blocks.get(block.block)!, data});
		return [200, {}];
	};

	const seal = (block: Block, generation: number, checksum: string): readonly [number, unknown] => {
		if (block.generation !== generation || block.state !== 'reserved' || computeSha256(block.data) !== checksum) {
			return [409, {error: 'not as written'}];
		}

		putBlock({...block, state: 'sealed', checksum});
		return [200, {}];
	};

	const free = (block: Block, generation: number): readonly [number, unknown] => {
		if (block.generation !== generation) {
			return [409, {error: 'other generation'}];
		}

		putBlock({...block, state: 'free'});
		return [200, {}];
	};

	const list = (after: number, tags: ReadonlySet<number>): readonly [number, unknown] => {
		const entries = [...blocks.values()]
			.filter(entry => entry.seq > after && tags.has(entry.tag))
			.map(({data, ...entry}) => faults.lies ? {...entry, state: 'sealed'} : entry);
		return [200, {seq, entries}];
	};

	return serveStandIn(address, async ({method, path, query, body, res}) => {
		if (path === '/control') {
			faults = {...faults, ...body as Partial<StoreFaults>};
			return [200, {}];
		}

		if (faults.down) {
			res.destroy();
			return undefined;
		}

		if (path === '/restart') {
			for (const entry of blocks.values()) {
				if (entry.tier === 'memory') {
					putBlock({
						...entry, generation: entry.generation + 1, state: 'free', data: '',
					});
				}
			}

			return [200, {}];
		}

		if (path === '/reserve') {
			return reserve(body);
		}

		if (path === '/list') {
			const tags = (query.get('tags') ?? '').split(',').map(Number);
			return list(Number(query.get('after')), new Set(tags));
		}

		const [number, action] = path.split('/').slice(2);
		const block = blocks.get(Number(number));
		if (!block) {
			return [404, {error: 'unknown block'}];
		}

		const generation = Number(query.get('generation'));
		if (action === 'seal') {
			return seal(block, generation, (body as {readonly checksum: string}).checksum);
		}

		if (action === 'free') {
			return free(block, generation);
		}

		return method === 'PUT' ? write(block, generation, (body as {readonly data: string}).data) : read(block, generation);
	});
}
