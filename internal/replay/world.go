package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestsail/goldcrestsail/routing"
)

const (
	// sameDomainLatency is the one-way latency inside a failure domain.
	sameDomainLatency = 200 * time.Microsecond
	// restartTime is how long a target that crashed takes to start again.
	restartTime = time.Second
	// startingTime is how long a target announces starting before ready.
	startingTime = 300 * time.Millisecond
)

// world is one replay: the fakes, the system between them, and the ledger.
type world struct {
	engine
	head      *Head
	targets   []*target
	byService map[string][]*target
	sys       system
	ledger    *ledger
	slow      map[string]float64
	logDown   bool
	lose      float64
	nextEntry int
}

// newWorld makes the targets and schedules every event of the trace.
func newWorld(t *Trace, make func(*world) system) *world {
	w := &world{head: &t.Head, byService: map[string][]*target{}, slow: map[string]float64{}, ledger: newLedger(&t.Head)}
	w.start = t.start()
	w.now = w.start
	for i := range t.Head.Services {
		s := &t.Head.Services[i]
		for k := range s.Targets {
			g := &target{
				w: w, service: s, ordinal: k, index: len(w.targets), state: routing.Ready,
				id: s.Name + "-" + strconv.Itoa(k), domain: t.Head.FailureDomains[k%len(t.Head.FailureDomains)],
			}
			w.targets = append(w.targets, g)
			w.byService[s.Name] = append(w.byService[s.Name], g)
		}
	}
	for _, e := range t.Events {
		if e.Fault == FaultRestart {
			w.byService[e.Service][e.Target].state = routing.Down
		}
	}
	w.sys = make(w)
	for _, e := range t.Events {
		if e.Fault != "" {
			w.after(ms(e.At), func() { w.inject(e) })
		}
	}
	for _, r := range w.requests(t) {
		w.ledger.offer(r)
		w.after(r.at, func() { w.newClientCall(r) })
	}
	return w
}

// requests expands the arrivals of the trace in the order of time. They depend
// on the seed alone, so that both versions get the same.
func (w *world) requests(t *Trace) []*request {
	var all []*request
	for i, e := range t.Events {
		if e.Method != "" {
			o := w.head.find(e.Service, e.Method, e.Path)
			all = append(all, w.newRequest(o, ms(e.At), e.Key, e.DeadlineMS))
		}
		if e.Arrivals == nil || *e.Arrivals <= 0 {
			continue
		}
		rng := rand.New(rand.NewPCG(w.head.Seed, uint64(i)))
		names := make([]string, 0, len(e.Mix))
		for name := range e.Mix {
			names = append(names, name)
		}
		slices.Sort(names)
		for at := ms(e.At); ; {
			at += time.Duration(rng.ExpFloat64() / *e.Arrivals * float64(time.Second))
			if at >= ms(e.Until) {
				break
			}
			x, name := rng.Float64(), names[len(names)-1]
			for _, n := range names {
				if x -= e.Mix[n]; x < 0 {
					name = n
					break
				}
			}
			all = append(all, w.newRequest(w.head.operation(name), at, "", 0))
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return int(a.at - b.at) })
	for i, r := range all {
		r.id = uint64(i + 1)
		if r.key == "" && r.op.NonIdempotent {
			r.key = "k" + strconv.Itoa(i+1)
		}
	}
	return all
}

func (w *world) newRequest(o *Operation, at time.Duration, key string, deadline int) *request {
	if deadline == 0 {
		deadline = o.TimeoutMS
	}
	return &request{op: o, at: at, key: key, deadline: w.start.Add(at + ms(deadline))}
}

// inject begins a fault and schedules its end.
func (w *world) inject(e Event) {
	end := func(run func()) {
		if e.Until > 0 {
			w.after(ms(e.Until-e.At), run)
		}
	}
	switch e.Fault {
	case FaultSlow:
		w.slow[e.Service] = e.Factor
		end(func() { delete(w.slow, e.Service) })
	case FaultLogDown:
		w.logDown = true
		end(func() { w.logDown = false })
	case FaultLoseResponses:
		w.lose = e.Share
		end(func() { w.lose = 0 })
	case FaultSilent:
		w.sys.silence(e.Domain, e.Share)
	case FaultDrain:
		g := w.byService[e.Service][e.Target]
		g.setState(routing.Draining)
		end(g.leave)
	case FaultRestart:
		w.byService[e.Service][e.Target].begin(e.Factor)
	case FaultLie:
		g := w.byService[e.Service][e.Target]
		g.lies, g.lieFactor = true, e.Factor
		end(func() { g.lies = false })
	}
}

// latency is the one-way latency between two targets' instances.
func (w *world) latency(a, b *target) time.Duration {
	if a.domain == b.domain {
		return sameDomainLatency
	}
	return time.Duration(w.head.OneWayUS) * time.Microsecond
}

func (w *world) clientLatency() time.Duration {
	return time.Duration(w.head.ClientOneWayUS) * time.Microsecond
}

// fraction returns a number in [0, 1) that depends on the seed and the
// arguments alone, and so is the same for both versions.
func (w *world) fraction(what string, n uint64) float64 {
	h := xxhash.Sum64String(what + "/" + strconv.FormatUint(w.head.Seed, 10) + "/" + strconv.FormatUint(n, 10))
	return float64(h>>11) / math.Exp2(53)
}
