package idempotency

// issuedMACBytes makes guessing a valid issued key infeasible.
const issuedMACBytes = 16

// issuedRawBytes is process ID, time, serial number and MAC.
const issuedRawBytes = 16 + 8 + 8 + issuedMACBytes
