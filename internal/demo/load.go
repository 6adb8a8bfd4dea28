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
	// maxClientAttempts bounds the attempts of a client request. Clients repeat
	// aggressively so that retries amplify the overload.
	maxClientAttempts = 4
	// clientBackoff is the pause before a client repeats a request.
	clientBackoff = 50 * time.Millisecond
	// attemptTimeoutShare is the fraction of the client's deadline allowed for
	// one attempt.
	attemptTimeoutShare = 0.5
	// windowLength is the width of the goodput windows.
	windowLength = 250 * time.Millisecond
)

// load sends client requests at the rates of a deployment and records their
// outcomes.
type load struct {
	deployment     *deployment
	entryAddresses []string
	ledger         *target.Ledger
	client         *http.Client
	start          time.Time
	// demandMilli is the factor on the demand, in thousandths.
	demandMilli   atomic.Int64
	nextAttemptID atomic.Int64
	wait          sync.WaitGroup

	mu               sync.Mutex
	answeredByWindow map[int]int
	requests         []clientRequest
	notRun           []notRunResponse
	recorded         []recordedRequest
	incomplete       int
}

// clientRequest is the outcome of one client request, over all its attempts.
type clientRequest struct {
	class    string
	arrived  time.Duration
	answered bool
	refused  bool
}

// notRunResponse is an attempt whose response states run state not-run.
type notRunResponse struct {
	attemptID, service, path string
}

func newLoad(d *deployment, entryAddresses []string, ledger *target.Ledger) *load {
	l := &load{
		deployment: d, entryAddresses: entryAddresses, ledger: ledger, answeredByWindow: map[int]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}},
	}
	l.demandMilli.Store(1000)
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
		rate := c.rate * float64(l.demandMilli.Load()) / 1000
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		entry := l.entryAddresses[rng.IntN(len(l.entryAddresses))]
		l.wait.Go(func() { l.request(c, entry) })
	}
}

// request sends one client request, and repeats it until it is answered, its
// deadline passes or its attempts are used up.
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
	for attempt := range maxClientAttempts {
		if attempt > 0 {
			time.Sleep(clientBackoff)
		}
		if ctx.Err() != nil {
			break
		}
		answered, refused := l.attempt(ctx, c, entry, key)
		if answered {
			result.answered = true
			break
		}
		result.refused = refused
	}
	l.recordOutcome(result)
}

// attempt sends a request once. refused reports that the request was rejected:
// the response states run state not-run, or has status 503.
func (l *load) attempt(ctx context.Context, c *loadClass, entry, key string) (answered, refused bool) {
	timeout := time.Duration(float64(c.timeout) * attemptTimeoutShare)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	attemptID := strconv.FormatInt(l.nextAttemptID.Add(1), 10)
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+entry+c.path, strings.NewReader(""))
	if err != nil {
		return false, false
	}
	request.Host = c.service + "." + l.deployment.customer
	request.Header.Set(target.HeaderClientRequest, attemptID)
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
		return l.checkAnswer(body, err, c, attemptID, response.Header.Get(chainhttp.HeaderReplayed) != ""), false
	}
	if kind.RunState(response.Header.Get(chainhttp.HeaderRunState)) == kind.NotRun {
		l.mu.Lock()
		l.notRun = append(l.notRun, notRunResponse{attemptID, c.service, c.path})
		l.mu.Unlock()
		return false, true
	}
	return false, response.StatusCode == http.StatusServiceUnavailable
}

// checkAnswer reports whether a body is the complete answer to this request. A
// replayed answer carries the ID of the attempt that was run.
func (l *load) checkAnswer(body []byte, readErr error, c *loadClass, attemptID string, replayed bool) bool {
	var answer target.Response
	err := json.Unmarshal(body, &answer)
	own := answer.Request == attemptID || replayed
	if readErr == nil && err == nil && answer.Complete && own && answer.Service == c.service && answer.Path == c.path {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incomplete++
	return false
}

func (l *load) recordOutcome(r clientRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	if r.answered {
		l.answeredByWindow[int(time.Since(l.start)/windowLength)]++
	}
}

// goodput returns the answered requests per second between two times.
func (l *load) goodput(from, to time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	answered := 0
	for w := int(from / windowLength); w < int(to/windowLength); w++ {
		answered += l.answeredByWindow[w]
	}
	return float64(answered) / (to - from).Seconds()
}

// result summarises the run. Class counts cover the overload phase only.
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
	for _, n := range l.notRun {
		if l.ledger.Executions(n.attemptID, n.service, n.path) > 0 {
			r.FalseNotRun++
		}
	}
	r.RecoverySeconds, r.Recovered = l.recovery(r.GoodputBefore, end, stop)
	return r
}

// recovery returns the time after end from which goodput, over one second,
// is back at 95% of its level before the overload. It reports false, with the
// time observed, if that does not happen before stop.
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
