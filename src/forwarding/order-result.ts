/**
Response of an engine to a weight update order:
- `accepted`: the engine loads the weights;
- `holds`: the engine already has the weights;
- `conflict`: another order is being carried out or was accepted before;
- `fenced`: the engine has seen a higher fencing token;
- `gone`: another engine has the address;
- `invalid`: the engine does not support the order.
*/
export type OrderResult = 'accepted' | 'holds' | 'conflict' | 'fenced' | 'gone' | 'invalid';
