/** Keys of the platform objects that hold configuration. */
export const configKeys = {
	head: 'config/head',
	service: (digest: string): string => `config/service/${digest}`,
} as const;
