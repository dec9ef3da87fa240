/** Keys of the configuration's objects in the platform's object store. */
export const configObjectKeys = {
	head: 'config/head',
	service: (digest: string): string => `config/service/${digest}`,
} as const;
