// Package naive holds the rules of the naive version that goldcrestsail is
// compared with: targets in turn, first in first out up to the number of
// connections, and three retries at every hop. It sheds nothing, and it knows
// no deadline of another hop, no idempotency key and no chain.
package naive
