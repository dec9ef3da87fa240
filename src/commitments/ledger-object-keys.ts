/** Keys of the platform objects of a slice. */
export const ledgerObjectKeys = {
	head: (slice: number): string => `ledger/${slice}/head`,
	segment: (slice: number, nonce: string): string => `ledger/${slice}/segment/${nonce}`,
	answer: (slice: number, claim: string): string => `ledger/${slice}/answer/${claim}`,
} as const;
