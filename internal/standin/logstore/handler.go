package logstore

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// maxRequestBytes allows for the largest append in base64.
const maxRequestBytes = 18 << 20

// Status is the response body of the control endpoint.
type Status struct {
	Faults  Faults              `json:"faults"`
	Streams map[string]Counters `json:"streams"`
}

// Handler serves the HTTP protocol of the log service, and the control endpoint:
// GET /control returns Status, POST /control sets Faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/records", s.serveAppend)
	mux.HandleFunc("GET /streams/{name}/records", s.serveRead)
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, Status{Faults: s.Faults(), Streams: s.Counters()})
	})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10))
		d.DisallowUnknownFields()
		var f Faults
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		writeJSON(w, Status{Faults: s.Faults(), Streams: s.Counters()})
	})
	return mux
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	var in logservice.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	first, err := s.Append(r.Context(), r.PathValue("name"), in.Records...)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, logservice.AppendResponse{First: first})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("from"), 10, 64)
	maxRecords, err2 := strconv.Atoi(q.Get("max"))
	wait, err3 := strconv.ParseInt(q.Get("wait_ms"), 10, 32)
	if err := errors.Join(err1, err2, err3); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b, err := s.Read(r.Context(), r.PathValue("name"), from, maxRecords, time.Duration(wait)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	out := logservice.ReadResponse{Records: []logservice.ReadRecord{}, Next: b.Next, Earliest: b.Earliest}
	for _, v := range b.Records {
		out.Records = append(out.Records, logservice.ReadRecord{Offset: v.Offset, TimeMS: v.Time.UnixMilli(), Data: v.Data})
	}
	writeJSON(w, out)
}

func writeError(w http.ResponseWriter, err error) {
	switch e := kind.Of(err); {
	case errors.Is(err, errResponseLost):
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	case errors.Is(err, logservice.ErrRateExceeded):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case e.Kind == kind.Malformed || e.Kind == kind.TooLarge:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
