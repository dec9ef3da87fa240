/**
For how long a version of a model's weights has been a desired one: model, version, and the time in milliseconds; `null` when the version is
known and its age is not.
*/
export type WeightAge = readonly [model: string, version: number, ageMs: number | null];
