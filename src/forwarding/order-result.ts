/**
How an engine answered an order. `fenced`: it has seen a higher token; `conflict`: another order is under way or came before;
`gone`: another engine has the address; `invalid`: the engine does not know such an order.
*/
export type OrderResult = 'accepted' | 'holds' | 'conflict' | 'fenced' | 'gone' | 'invalid';
