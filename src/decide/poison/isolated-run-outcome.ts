/** How the leave of a suspect to run alone ended. */
export type IsolatedRunOutcome = 'completed' | 'crashed' | 'not-run';
