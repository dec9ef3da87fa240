/** Keys of a ledger shard's objects in the platform's object store. */
export const ledgerObjectKeys = {
	head: (shard: number): string => `ledger/${shard}/head`,
	segment: (shard: number, nonce: string): string => `ledger/${shard}/segment/${nonce}`,
	answer: (shard: number, claim: string): string => `ledger/${shard}/answer/${claim}`,
} as const;
