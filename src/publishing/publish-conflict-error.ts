/** Thrown when another publisher changed one of the same services first. */
export class PublishConflictError extends Error {
	constructor(readonly service: string, readonly winner: string, readonly revision: number) {
		super(`service "${service}" was published by ${winner} as revision ${revision}; read it and publish again`);
		this.name = 'PublishConflictError';
	}
}
