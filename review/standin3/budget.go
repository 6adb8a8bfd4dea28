package main

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// partlyDown is the store as the nodes reach it while the partition of a topic is down.
type partlyDown struct {
	server *httptest.Server
	// down is the topic whose calls are answered with 503, nil if none.
	down atomic.Pointer[string]
}

func newPartlyDown(store string) *partlyDown {
	p := &partlyDown{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if topic := p.down.Load(); topic != nil && r.URL.Query().Get("topic") == *topic {
			w.Header().Set("Store-Era", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	return p
}

func (p *partlyDown) address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// budgetOfIsolated: the machines start while one partition of the store is down, that of
// the topic in which the nodes keep their list. The backends refuse a part of their
// requests.
func budgetOfIsolated(p *play) (int, error) {
	const (
		downTime    = 9 * time.Second
		refuseShare = 0.55
		refuseFrom  = 2 * time.Second
		refuseFor   = 8500 * time.Millisecond
		ratio       = 0.2
		slack       = 49.0
		window      = 10 * time.Second
	)
	services := []string{"sorthouse", "sorthouse", "sorthouse", "sorthouse", "sorthouse", "sorthouse"}
	var store *partlyDown
	topic := "keyed.goldcrestsail-nodes"
	p.storeFor = func(_, address string) (string, error) {
		if store == nil {
			store = newPartlyDown(address)
			if p.trouble {
				store.down.Store(&topic)
				p.note("the partition of %s is down from now on", topic)
			}
		}
		return store.address(), nil
	}
	d, ctx, err := p.start(services, []route{{host: "sort.example", timeout: 2 * time.Second, service: "sorthouse", attempts: 1}},
		backendConfig{slots: 11, queue: 11, work: 20 * time.Millisecond, refuseShare: refuseShare, refuseFrom: refuseFrom, refuseFor: refuseFor})
	if err != nil {
		return 0, err
	}
	up := time.AfterFunc(downTime, func() {
		store.down.Store(nil)
		p.note("all of the store is up from now on")
	})
	defer up.Stop()
	d.runClients(ctx, 200*time.Millisecond, attempt{host: "sort.example", deadline: 2 * time.Second}, d.machines...)
	time.Sleep(downTime + 10*time.Second)
	d.cancel()
	d.clients.Wait()

	requests, arrivals := p.snapshot()
	var sent, repeats []time.Time
	for _, q := range requests {
		sent = append(sent, q.sentAt)
	}
	arrived := map[string]bool{}
	for _, a := range arrivals {
		if arrived[a.id] {
			repeats = append(repeats, a.at)
		}
		arrived[a.id] = true
	}
	slices.SortFunc(repeats, time.Time.Compare)
	breaches := 0
	var worst float64
	for _, end := range repeats {
		begin := end.Add(-window)
		n := countBetween(repeats, begin, end)
		most := max(countBetween(sent, begin, end), countBetween(sent, begin.Add(-window), begin), countBetween(sent, begin.Add(-window/2), begin.Add(window/2)))
		allowed := ratio*float64(most) + slack
		if over := float64(n) - allowed; over > 0 {
			breaches++
			if over > worst {
				worst = over
				p.note("in the 10 s up to %.3f: %d arrivals beyond the first of each request, %d requests, %.0f allowed", end.Sub(p.began).Seconds(), n, most, allowed)
			}
		}
	}
	p.note("%d requests, %d arrivals beyond the first in all", len(sent), len(repeats))
	return min(breaches, 1), nil
}

func countBetween(times []time.Time, begin, end time.Time) (n int) {
	for _, at := range times {
		if at.After(begin) && !at.After(end) {
			n++
		}
	}
	return n
}
