/** Keys of the platform objects of a slice. */
export const ledgerObjectKeys = {
	head: (shard: number): string => `ledger/${shard}/head`,
	segment: (shard: number, nonce: string): string => `ledger/${shard}/segment/${nonce}`,
	answer: (shard: number, claim: string): string => `ledger/${shard}/answer/${claim}`,
} as const;
