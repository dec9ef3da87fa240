/** For how long a version of a model's weights has been a desired one: model, version, and the time in milliseconds. */
export type WeightAge = readonly [model: string, version: number, ageMs: number];
