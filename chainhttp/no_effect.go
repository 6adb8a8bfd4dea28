package chainhttp

import "net/http"

// EffectNone is the value of HeaderEffect of a response to a request that
// failed before it took effect.
const EffectNone = "none"

// NoEffect marks a response, before its status is written, as that of a
// request that failed before it took effect. A non-idempotent request with a
// status from 500 on is then executed again when it is repeated under the same
// key; without the mark a repeat is given the failure that was stored.
func NoEffect(w http.ResponseWriter) { w.Header().Set(HeaderEffect, EffectNone) }
