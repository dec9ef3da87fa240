/** Wire form of a limit on requests in flight; `startedAt` is null where it is unknown. */
export type WirePace = readonly [id: string, startedAt: number | null, setbacks: number, limit: number, onTime: number, slow: number];
