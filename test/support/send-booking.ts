import {request} from 'undici';

/** The response to a commitment as its caller received it. */
export type BookingResult = {
	readonly status: number;
	readonly body: any;
	readonly isReplay: boolean;
};

/** Sends a booking with an idempotency key to the address `callers`. */
export async function sendBooking(callers: string, key: string, idempotencyKey: string, lathe = 1): Promise<BookingResult> {
	const response = await request(`http://${callers}/services/booking/bookings`, {
		method: 'POST',
		headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json', 'idempotency-key': idempotencyKey},
		body: JSON.stringify({lathe}),
		headersTimeout: 120_000,
	});
	return {status: response.statusCode, body: await response.body.json(), isReplay: response.headers['idempotent-replayed'] === 'true'};
}
