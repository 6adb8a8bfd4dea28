package chainhttp

import (
	"context"
	"net/http"
)

// Middleware bounds each request's context by its Request-Timeout and stores the
// chain headers in it, so that a Transport copies them to the sub-calls made with
// that context.
func Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := r.Context()
		if timeout, ok := ParseTimeout(r.Header.Get(HeaderTimeout)); ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		next.ServeHTTP(w, r.WithContext(withHeaders(ctx, r.Header)))
	})
}
