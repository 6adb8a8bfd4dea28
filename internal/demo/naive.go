package demo

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/internal/naive"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

// naiveSystem routes calls by round robin, with three retries at every hop.
type naiveSystem struct {
	started []*target.Target
	proxies []*naiveProxy
}

// naiveProxy takes the place of a node in the naive system.
type naiveProxy struct {
	server      *http.Server
	listener    net.Listener
	client      *http.Client
	mu          sync.Mutex
	roundRobins map[string]*naive.RoundRobin
	// addresses holds the target addresses by service. It is complete before
	// the proxies start to serve, so reads need no lock.
	addresses map[string][]string
}

func startNaive(d *deployment, ledger *target.Ledger, seed uint64) (system, error) {
	s := &naiveSystem{}
	addresses := map[string][]string{}
	for i, svc := range d.services {
		for j := range svc.targets {
			p, err := newNaiveProxy(addresses)
			if err != nil {
				s.stop()
				return nil, err
			}
			s.proxies = append(s.proxies, p)
			t := target.New(d.targetConfig(&d.services[i], p.listener.Addr().String(), ledger, seed+uint64(100*i+j)))
			if err := t.Start(); err != nil {
				s.stop()
				return nil, err
			}
			s.started = append(s.started, t)
			name := svc.name + "." + d.customer
			addresses[name] = append(addresses[name], t.Address())
		}
	}
	for _, p := range s.proxies {
		go p.server.Serve(p.listener)
	}
	return s, nil
}

func newNaiveProxy(addresses map[string][]string) (*naiveProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &naiveProxy{
		listener: listener, addresses: addresses, roundRobins: map[string]*naive.RoundRobin{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}},
	}
	p.server = &http.Server{Handler: p}
	return p, nil
}

// ServeHTTP forwards a request and repeats it on failure as often as naive.Retry
// allows.
func (p *naiveProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/announce" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for retries := 0; ; retries++ {
		status, header, answer := p.forward(r, body)
		if r.Context().Err() != nil {
			return
		}
		if naive.Retry(retries, status) {
			continue
		}
		if status == 0 {
			http.Error(w, "no answer", http.StatusBadGateway)
			return
		}
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		w.Write(answer)
		return
	}
}

// forward sends a request once. The status is 0 if no complete response arrived.
func (p *naiveProxy) forward(r *http.Request, body []byte) (int, http.Header, []byte) {
	addresses := p.addresses[r.Host]
	p.mu.Lock()
	roundRobin := p.roundRobins[r.Host]
	if roundRobin == nil {
		roundRobin = &naive.RoundRobin{}
		p.roundRobins[r.Host] = roundRobin
	}
	next := roundRobin.Next(len(addresses), func(int) bool { return true })
	p.mu.Unlock()
	if next < 0 {
		return 0, nil, nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), naive.HopTimeout)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addresses[next]+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	out.Host = r.Host
	out.Header = r.Header.Clone()
	out.Header.Del("Connection")
	// The naive system does not propagate deadlines beyond one hop.
	out.Header.Del(chainhttp.HeaderTimeout)
	response, err := p.client.Do(out)
	if err != nil {
		return 0, nil, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil
	}
	response.Header.Del("Content-Length")
	return response.StatusCode, response.Header, answer
}

func (s *naiveSystem) entryAddresses() []string {
	var all []string
	for _, p := range s.proxies {
		all = append(all, p.listener.Addr().String())
	}
	return all
}

func (s *naiveSystem) targets() []*target.Target { return s.started }

func (s *naiveSystem) stop() {
	for _, p := range s.proxies {
		p.server.Close()
		p.client.CloseIdleConnections()
	}
	for _, t := range s.started {
		t.Stop()
	}
}

// targetConfig returns the configuration of one target of a service.
func (d *deployment) targetConfig(s *service, node string, ledger *target.Ledger, seed uint64) target.Config {
	return target.Config{
		Customer: d.customer, Service: s.name, Address: "127.0.0.1:0", NodeAddress: node, Slots: s.slots,
		Backlog: s.connections, ServiceTime: s.serviceTime, Calls: s.calls, Ledger: ledger, Seed: seed,
	}
}
