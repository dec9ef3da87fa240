/** How a permitted isolated run of a suspect request ended. `not-run`: the run did not take place. */
export type IsolatedRunOutcome = 'completed' | 'crashed' | 'not-run';
