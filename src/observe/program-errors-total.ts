import {Counter} from 'prom-client';

/** Errors of this program that a task has caught and survived, by what failed. Each gateway and host lists it among its metrics. */
export const programErrorsTotal = new Counter({
	name: 'hemlockpier_program_errors_total', help: 'Errors of the program that a task has survived', labelNames: ['failed'], registers: [],
});
