package processtest

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

// answer is the outcome of one attempt as its caller sees it.
type answer struct {
	// id is the client request ID of the attempt.
	id, path string
	status   int
	kind     string
	detail   string
	runState string
	replayed bool
	body     target.Response
	// mismatch says why a response with status 200 is not the complete response to
	// this request.
	mismatch string
	err      error
}

func newID() string { return uuid.NewString() }

// send sends one attempt of a request to front.acme through a node.
func (c *cluster) send(entry *member, method, path, id, key string) answer {
	a := answer{id: id, path: path}
	r, err := http.NewRequest(method, "http://"+entry.caller+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = "front.acme"
	r.Header.Set(target.HeaderClientRequest, id)
	if key != "" {
		r.Header.Set(chainhttp.HeaderKey, key)
	}
	response, err := c.client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.kind = response.StatusCode, response.Header.Get(chainhttp.HeaderKind)
	a.runState, a.replayed = response.Header.Get(chainhttp.HeaderRunState), response.Header.Get(chainhttp.HeaderReplayed) == "true"
	if a.kind != "" {
		a.detail = string(body)
	}
	if a.status == http.StatusOK {
		if err := json.Unmarshal(body, &a.body); err != nil || !a.body.Complete {
			a.mismatch = "incomplete body " + string(body)
		} else if a.body.Service != "front" || a.body.Path != path || len(a.body.Calls) != 1 {
			a.mismatch = "answer of another request: " + string(body)
		}
	}
	return a
}

// issueKey requests an issued key from a node. It returns an empty string on
// failure.
func (c *cluster) issueKey(entry *member) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+entry.caller+"/.well-known/goldcrestsail/keys", nil)
	if err != nil {
		return ""
	}
	r.Host = "front.acme"
	response, err := c.client.Do(r)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var keys struct{ Keys []string }
	if json.NewDecoder(response.Body).Decode(&keys) != nil || len(keys.Keys) != 1 {
		return ""
	}
	return keys.Keys[0]
}
