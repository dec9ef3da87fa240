/** Keys of the platform objects that hold configuration. */
export const configObjectKeys = {
	head: 'config/head',
	service: (digest: string): string => `config/service/${digest}`,
} as const;
