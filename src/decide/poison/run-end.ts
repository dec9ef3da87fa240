/** How the leave of a suspect to run alone ended. */
export type RunEnd = 'completed' | 'crashed' | 'not-run';
