const fnvOffsetBasis = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;
const murmurFirstMultiplier = 0x85_EB_CA_6B;
const murmurSecondMultiplier = 0xC2_B2_AE_35;

/** Returns a 32-bit hash of `text`, the same in every process: FNV-1a with the finalizer of MurmurHash3. Not for secrets. */
export function hashTo32Bits(text: string): number {
	let hash = fnvOffsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
	}

	hash = Math.imul(hash ^ (hash >>> 16), murmurFirstMultiplier);
	hash = Math.imul(hash ^ (hash >>> 13), murmurSecondMultiplier);
	return (hash ^ (hash >>> 16)) >>> 0;
}
