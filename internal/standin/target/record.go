package target

import (
	"net/http"
	"net/url"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
)

// Paths of a remote ledger.
const (
	StartPath    = "/start"
	EffectPath   = "/effect"
	NoEffectPath = "/no-effect"
)

// recordStart records the start of a request. It returns false if the remote
// ledger did not record it.
func (t *Target) recordStart(r *http.Request, requestID string) bool {
	t.ledger.countStart(requestID, t.config.Service, r.URL.Path)
	return t.postToLedger(StartPath, url.Values{
		"request": {requestID}, "path": {r.URL.Path}, "target": {t.Address()},
		// The parent ID of a sub-call identifies the execution of its caller.
		"trace": {r.Header.Get(chainhttp.HeaderTraceParent)},
	})
}

// recordEffect records the effect of an idempotency key. It returns false if the
// remote ledger did not record it.
func (t *Target) recordEffect(key string) bool {
	t.ledger.countEffect(t.config.Service, key)
	return t.postToLedger(EffectPath, url.Values{"key": {key}})
}

// declareNoEffect states in the response that the request failed before its
// effect, provided that the ledger has recorded this.
func (t *Target) declareNoEffect(w http.ResponseWriter, r *http.Request) {
	if t.postToLedger(NoEffectPath, url.Values{"path": {r.URL.Path}}) {
		chainhttp.NoEffect(w)
	}
}

// postToLedger sends an entry to the remote ledger, if one is configured, and
// reports whether it was recorded.
func (t *Target) postToLedger(path string, values url.Values) bool {
	if t.config.LedgerURL == "" {
		return true
	}
	values.Set("service", t.config.Service)
	response, err := http.PostForm(t.config.LedgerURL+path, values)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ServeHTTP serves the ledger to targets in other processes.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service := r.FormValue("service")
	switch r.URL.Path {
	case StartPath:
		l.countStart(r.FormValue("request"), service, r.FormValue("path"))
	case EffectPath:
		l.countEffect(service, r.FormValue("key"))
	case NoEffectPath:
	default:
		http.NotFound(w, r)
	}
}
