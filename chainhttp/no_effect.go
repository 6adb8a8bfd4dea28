package chainhttp

import "net/http"

// EffectNone is the value of HeaderEffect in the response to a request that failed
// before it took effect.
const EffectNone = "none"

// NoEffect marks the response to a request that failed before it took effect. It
// must be called before the status is written. A non-idempotent request whose
// response has status 500 or above is then executed again when it is repeated with
// the same key; without the header, a repeat receives the stored failure.
func NoEffect(w http.ResponseWriter) { w.Header().Set(HeaderEffect, EffectNone) }
