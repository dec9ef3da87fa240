/**
Ports that tests may use: above 10080, which fetch refuses to connect to, and below the ephemeral ports, so that no outgoing connection takes one
between the check and its use.
*/
export const testPortRange = {first: 10_081, count: 21_919} as const;
