import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import fc from 'fast-check';
import {callJson} from '../../src/http/call-json.js';
import {createEngineStandIn} from '../../src/stand-ins/create-engine-stand-in.js';
import {createStoreStandIn} from '../../src/stand-ins/create-store-stand-in.js';
import {type StandIn} from '../../src/stand-ins/stand-in.js';
import {createHttpEngine} from '../../src/upstreams/create-http-engine.js';
import {createHttpCacheStore} from '../../src/upstreams/create-http-cache-store.js';
import {type StoredPiece} from '../../src/decide/routing/stored-piece.js';

const timeoutMs = 5000;

describe('stored blocks', () => {
	let engine: StandIn;

	beforeAll(async () => {
		engine = await createEngineStandIn('127.0.0.1:0', {cachePieces: 10_000});
	});

	/** Checks that the engine imported only bytes that were sealed under their key. */
	const checkAccepted = async (): Promise<void> => {
		const {body} = await callJson(`${engine.url}/counts`, {timeoutMs});
		for (const [key, data] of Object.entries(body.accepted as Readonly<Record<string, string>>)) {
			// The data is empty for a piece that the test added through `/kv/accept` without an import.
			expect(data === '' || data.startsWith(`${key}:`)).toBe(true);
		}
	};

	afterAll(async () => {
		await engine.stop();
	});

	it.each([
		['a store that checks generations', {unchecked: false, lies: false}],
		['a store that returns the content of a block whatever its generation and state', {unchecked: true, lies: true}],
	])('return only bytes that were sealed under the requested key and generation: %s', async (_name, faults) => {
		const client = createHttpEngine(engine.url);
		const operation = fc.record({what: fc.constantFrom('write', 'write', 'unsealed-write', 'free', 'restart', 'race', 'import', 'import'), pick: fc.nat(20)});
		await fc.assert(fc.asyncProperty(fc.array(operation, {minLength: 10, maxLength: 30}), async operations => {
			const server = await createStoreStandIn('127.0.0.1:0', {blocks: 4, memoryBlocks: 2, faults});
			const store = createHttpCacheStore(server.url);
			const sealed: StoredPiece[] = [];
			const freed = new Set<StoredPiece>();
			let next = 0;
			const markFreed = (block: number): void => {
				for (const piece of sealed) {
					if (piece.block === block) {
						freed.add(piece);
					}
				}
			};

			for (const {what, pick} of operations) {
				const piece = sealed[pick % Math.max(1, sealed.length)];
				if (what === 'write' || what === 'unsealed-write') {
					const key = `${server.url}/piece-${next++}`;
					const reservation = await store.reserve(key, 100, 0);
					if (!reservation) {
						continue;
					}

					await callJson(`${engine.url}/kv/accept`, {body: {key}, timeoutMs});
					const checksum = await client.exportPiece(key, server.url, reservation.block, reservation.generation);
					if (what === 'write' && await store.seal(reservation.block, reservation.generation, checksum!)) {
						sealed.push({
							key, store: 's', ...reservation, checksum: checksum!, bytes: 100,
						});
					} else if (what === 'unsealed-write') {
						// The block was never sealed; an import with a forged entry must fail.
						const isImported = await client.importPiece({
							key, store: 's', ...reservation, checksum: 'f'.repeat(64), bytes: 100,
						}, server.url);
						expect(isImported).toBe(false);
					}
				} else if (what === 'free' && piece) {
					if (await store.free(piece.block, piece.generation)) {
						markFreed(piece.block);
					}
				} else if (what === 'restart') {
					await callJson(`${server.url}/restart`, {method: 'POST', timeoutMs});
					// A restart loses the memory tier: blocks 0 and 1.
					markFreed(0);
					markFreed(1);
				} else if (what === 'race' && piece) {
					const [isImported, isFreed] = await Promise.all([client.importPiece(piece, server.url), store.free(piece.block, piece.generation)]);
					if (isFreed) {
						markFreed(piece.block);
					}

					// The import either yields the complete piece, verified by its checksum, or returns `false`.
					expect(typeof isImported).toBe('boolean');
				} else if (what === 'import' && piece) {
					const isImported = await client.importPiece(piece, server.url);
					if (!faults.unchecked) {
						expect(isImported).toBe(!freed.has(piece));
					}
				}
			}

			await checkAccepted();
			await server.stop();
		}), {seed: 71, numRuns: 12});
	});

	it('are not imported after the block was reused for another piece', async () => {
		const client = createHttpEngine(engine.url);
		const server = await createStoreStandIn('127.0.0.1:0', {blocks: 1, faults: {unchecked: true}});
		const store = createHttpCacheStore(server.url);
		const reservation = await store.reserve('old', 100, 0);
		await callJson(`${engine.url}/kv/accept`, {body: {key: 'old'}, timeoutMs});
		const checksum = await client.exportPiece('old', server.url, reservation!.block, reservation!.generation);
		await store.seal(reservation!.block, reservation!.generation, checksum!);
		const piece = {
			key: 'old', store: 's', ...reservation!, checksum: checksum!, bytes: 100,
		};
		expect(await client.importPiece(piece, server.url)).toBe(true);
		await store.free(reservation!.block, reservation!.generation);
		const secondReservation = await store.reserve('new', 100, 0);
		await callJson(`${engine.url}/kv/accept`, {body: {key: 'new'}, timeoutMs});
		await client.exportPiece('new', server.url, secondReservation!.block, secondReservation!.generation);
		expect(await client.importPiece(piece, server.url)).toBe(false);
		expect(await client.importPiece({...piece, generation: secondReservation!.generation}, server.url)).toBe(false);
		await server.stop();
	});
});
