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

// recordStart records the start of a request and reports success.
func (t *Target) recordStart(r *http.Request, request string) bool {
	t.effects.executed(request, t.config.Service, r.URL.Path)
	return t.post(StartPath, url.Values{
		"request": {request}, "path": {r.URL.Path}, "target": {t.Address()},
		// The parent ID of a sub-call tells which run of its caller made it.
		"trace": {r.Header.Get(chainhttp.HeaderTraceParent)},
	})
}

// recordEffect records the effect of a key and reports success.
func (t *Target) recordEffect(key string) bool {
	t.effects.effect(t.config.Service, key)
	return t.post(EffectPath, url.Values{"key": {key}})
}

// declareNoEffect states in the answer that the request failed before its
// effect, after the ledger has recorded it.
func (t *Target) declareNoEffect(w http.ResponseWriter, r *http.Request) {
	if t.post(NoEffectPath, url.Values{"path": {r.URL.Path}}) {
		chainhttp.NoEffect(w)
	}
}

func (t *Target) post(path string, values url.Values) bool {
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

// ServeHTTP makes a ledger a remote one for targets in other processes.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service := r.FormValue("service")
	switch r.URL.Path {
	case StartPath:
		l.executed(r.FormValue("request"), service, r.FormValue("path"))
	case EffectPath:
		l.effect(service, r.FormValue("key"))
	case NoEffectPath:
	default:
		http.NotFound(w, r)
	}
}
