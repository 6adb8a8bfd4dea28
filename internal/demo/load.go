package demo

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
	"github.com/goldcrestsail/goldcrestsail/kind"
)

const (
	// clientTries is how often a client sends a request: it repeats hard.
	clientTries = 4
	// clientBackoff is the pause before a client repeats a request.
	clientBackoff = 50 * time.Millisecond
	// tryShare is the share of the deadline that a client waits for one try.
	tryShare = 0.5
	// windowLength is the width of the goodput windows.
	windowLength = 250 * time.Millisecond
)

// load sends client requests at the rates of a deployment and records what
// comes back.
type load struct {
	deployment *deployment
	entries    []string
	ledger     *target.Ledger
	client     *http.Client
	start      time.Time
	// factor multiplies the demand, in thousandths.
	factor atomic.Int64
	nextID atomic.Int64
	wait   sync.WaitGroup

	mu         sync.Mutex
	windows    map[int]int
	requests   []clientRequest
	notRun     []claimedNotRun
	recorded   []recordedRequest
	incomplete int
}

// clientRequest is how one client request went.
type clientRequest struct {
	class    string
	arrived  time.Duration
	answered bool
	refused  bool
}

// claimedNotRun is a try that was answered with run state not-run.
type claimedNotRun struct {
	tryID, service, path string
}

func newLoad(d *deployment, entries []string, ledger *target.Ledger) *load {
	l := &load{
		deployment: d, entries: entries, ledger: ledger, windows: map[int]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}},
	}
	l.factor.Store(1000)
	return l
}

// run sends Poisson arrivals of each class until ctx ends, then waits for the
// requests in flight.
func (l *load) run(ctx context.Context, seed uint64) {
	l.start = time.Now()
	for i := range l.deployment.classes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		l.wait.Go(func() { l.arrivals(ctx, &l.deployment.classes[i], rng) })
	}
	<-ctx.Done()
	l.wait.Wait()
	l.client.CloseIdleConnections()
}

func (l *load) arrivals(ctx context.Context, c *loadClass, rng *rand.Rand) {
	next := time.Now()
	for {
		rate := c.rate * float64(l.factor.Load()) / 1000
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		entry := l.entries[rng.IntN(len(l.entries))]
		l.wait.Go(func() { l.request(c, entry) })
	}
}

// request sends one client request, and repeats it until it is answered, its
// deadline has passed or the tries are used up.
func (l *load) request(c *loadClass, entry string) {
	arrived := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), arrived.Add(c.timeout))
	defer cancel()
	key := ""
	if c.keyed {
		key = uuid.Must(uuid.NewV7()).String()
	}
	result := clientRequest{class: c.name, arrived: arrived.Sub(l.start)}
	l.mu.Lock()
	l.recorded = append(l.recorded, recordedRequest{result.arrived, c, key})
	l.mu.Unlock()
	for try := range clientTries {
		if try > 0 {
			time.Sleep(clientBackoff)
		}
		if ctx.Err() != nil {
			break
		}
		answered, refused := l.try(ctx, c, entry, key)
		if answered {
			result.answered = true
			break
		}
		result.refused = refused
	}
	l.finish(result)
}

// try sends a request once. refused reports an answer that says it was not run.
func (l *load) try(ctx context.Context, c *loadClass, entry, key string) (answered, refused bool) {
	timeout := time.Duration(float64(c.timeout) * tryShare)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tryID := strconv.FormatInt(l.nextID.Add(1), 10)
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+entry+c.path, strings.NewReader(""))
	if err != nil {
		return false, false
	}
	request.Host = c.service + "." + l.deployment.customer
	request.Header.Set(target.HeaderClientRequest, tryID)
	deadline, _ := ctx.Deadline()
	request.Header.Set(chainhttp.HeaderTimeout, chainhttp.FormatTimeout(time.Until(deadline)))
	if key != "" {
		request.Header.Set(chainhttp.HeaderKey, key)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK {
		return l.checkAnswer(body, err, c, tryID, response.Header.Get(chainhttp.HeaderReplayed) != ""), false
	}
	if kind.RunState(response.Header.Get(chainhttp.HeaderRunState)) == kind.NotRun {
		l.mu.Lock()
		l.notRun = append(l.notRun, claimedNotRun{tryID, c.service, c.path})
		l.mu.Unlock()
		return false, true
	}
	return false, response.StatusCode == http.StatusServiceUnavailable
}

// checkAnswer reports whether a body is the whole answer to this request. A
// replayed answer names the try that ran.
func (l *load) checkAnswer(body []byte, readErr error, c *loadClass, tryID string, replayed bool) bool {
	var answer target.Response
	err := json.Unmarshal(body, &answer)
	own := answer.Request == tryID || replayed
	if readErr == nil && err == nil && answer.Complete && own && answer.Service == c.service && answer.Path == c.path {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incomplete++
	return false
}

func (l *load) finish(r clientRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	if r.answered {
		l.windows[int(time.Since(l.start)/windowLength)]++
	}
}

// goodput returns the answered requests per second between two times.
func (l *load) goodput(from, to time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	answered := 0
	for w := int(from / windowLength); w < int(to/windowLength); w++ {
		answered += l.windows[w]
	}
	return float64(answered) / (to - from).Seconds()
}

// result summarises the run.
func (l *load) result(overload, end, stop time.Duration) *Result {
	r := &Result{
		GoodputBefore: l.goodput(overload/2, overload), Goodput: l.goodput(overload, end),
		DuplicateEffects: l.ledger.DuplicateEffects(), MaxRetriesPerRequest: l.ledger.MaxRetries(),
		IncompleteAnswers: l.incomplete, Classes: map[string]*ClassResult{},
	}
	for _, q := range l.requests {
		if q.arrived < overload || q.arrived >= end {
			continue
		}
		c := r.Classes[q.class]
		if c == nil {
			c = &ClassResult{}
			r.Classes[q.class] = c
		}
		c.Offered++
		switch {
		case q.answered:
			c.Answered++
		case q.refused:
			c.Refused++
		}
	}
	for _, claim := range l.notRun {
		if l.ledger.Executions(claim.tryID, claim.service, claim.path) > 0 {
			r.FalseNotRun++
		}
	}
	r.RecoverySeconds, r.Recovered = l.recovery(r.GoodputBefore, end, stop)
	return r
}

// recovery returns the time after end from which goodput, over one second,
// reaches 95% of its former level.
func (l *load) recovery(before float64, end, stop time.Duration) (float64, bool) {
	const (
		width     = time.Second
		threshold = 0.95
	)
	for at := end; at+width <= stop; at += windowLength {
		if l.goodput(at, at+width) >= threshold*before {
			return (at - end).Seconds(), true
		}
	}
	return (stop - end).Seconds(), false
}
