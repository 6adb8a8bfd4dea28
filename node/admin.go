package node

import (
	"net/http"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/statedump"
)

// adminHandler serves metrics, the state dump and drain.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		n.metrics.write(w)
	})
	mux.HandleFunc("GET /dump", n.serveDump)
	mux.HandleFunc("POST /drain", n.serveDrain)
	return mux
}

func (n *Node) serveDump(w http.ResponseWriter, r *http.Request) {
	state, failure := statedump.Select(r, n.Dump())
	if failure != nil {
		writeError(w, uuid.NewString(), failure)
		return
	}
	if err := statedump.Write(w, state); err != nil {
		n.log.Error("failed to write the state dump", "error", err)
	}
}

// serveDrain starts a graceful shutdown and responds immediately; the process
// exits when all requests in progress have finished.
func (n *Node) serveDrain(w http.ResponseWriter, _ *http.Request) {
	n.StartDrain()
	w.WriteHeader(http.StatusAccepted)
}
