import {type WeightAge} from './weight-age.js';

/** Hosts report ages while a version has become the desired one within this time; afterwards they tell those that ask. */
const reportedForMs = 60_000;

/** Returns the ages that a host's reports state: those of the models that have got a new version of late. */
export function listRecentWeightAges(ages: readonly WeightAge[]): readonly WeightAge[] {
	const models = new Set(ages.filter(age => age[2] !== null && age[2] < reportedForMs).map(([model]) => model));
	return ages.filter(([model]) => models.has(model));
}
