package configcmd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

const (
	// publishLimit bounds the time for one file. It is longer than a restart of
	// the log service takes.
	publishLimit = time.Minute
	// firstPause and mostPause bound the pause between two attempts.
	firstPause = 250 * time.Millisecond
	mostPause  = 5 * time.Second
)

// PublishArgs are the arguments of Publish.
type PublishArgs struct {
	Files  []string
	LogURL string
	// ID replaces the change ID of the file; it is allowed with one file only.
	ID string
}

// Publish appends the changes in the given order and reports for each whether
// it was accepted. If any file has a fault nothing is published. An append
// whose answer is lost is repeated with the same change ID and counts once.
func Publish(ctx context.Context, env Env, args PublishArgs) int {
	if len(args.Files) == 0 {
		return env.usage("config publish: name at least one file")
	}
	if args.ID != "" && len(args.Files) > 1 {
		return env.usage("config publish: --id is allowed with one file only")
	}
	client := env.client(args.LogURL)
	if client == nil {
		return ExitUsage
	}
	files, ok := readChangeFiles(&env, args.Files)
	if !ok {
		env.errorf("nothing was published")
		return ExitFailure
	}
	if args.ID != "" {
		files[0].record.ID = args.ID
		if faults := files[0].record.Check(); len(faults) > 0 {
			return env.usage("config publish: --%v", faults[0])
		}
	}
	code := ExitOK
	for i, f := range files {
		state, err := publishOne(ctx, client, f.record)
		if err != nil {
			env.errorf("%s: outcome unknown: %v", f.path, err)
			env.errorf("%s: publish the file again; change %s counts once", f.path, f.record.ID)
			for _, rest := range files[i+1:] {
				env.errorf("%s: not published", rest.path)
			}
			return ExitFailure
		}
		if !env.reportPublished(f, state) {
			code = ExitFailure
		}
	}
	return code
}

// publishOne appends a change until it is in the log, and returns a state that
// reflects it.
func publishOne(ctx context.Context, client logservice.Client, r *configlog.Record) (*configlog.State, error) {
	ctx, cancel := context.WithTimeout(ctx, publishLimit)
	defer cancel()
	appended := false
	for pause := firstPause; ; pause = min(2*pause, mostPause) {
		var err error
		if !appended {
			_, err = client.Append(ctx, configlog.Stream, r.Encode())
			appended = err == nil
		}
		// After a lost answer the change may be in the log all the same.
		state, readErr := readLog(ctx, client)
		if readErr == nil {
			if _, seen := state.ChangeOffset(r.ID); seen {
				return state, nil
			}
		} else {
			err = readErr
		}
		if err == nil {
			return nil, kind.New(kind.LogUnavailable, "the log service confirmed the append but does not return the record")
		}
		timer := time.NewTimer(max(pause/2+rand.N(pause), kind.Of(err).RetryAfter))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, err
		}
	}
}

// reportPublished reports what became of a change and whether it was accepted.
func (e *Env) reportPublished(f *changeFile, state *configlog.State) bool {
	r := f.record
	result, kept := state.ResultOf(r.ID)
	at := fmt.Sprintf("offset %d, change %s", result.Offset, r.ID)
	switch {
	case !kept:
		e.errorf("%s: change %s was published before, and its outcome is no longer kept; %s is at revision %d", f.path, r.ID, r.Name, state.Revision(r.Name))
		return false
	case result.Outcome == configlog.Accepted:
		e.printf("%s: accepted: %s is at revision %d (%s)", f.path, r.Name, result.Revision, at)
		return true
	}
	e.errorf("%s: rejected: %v (change %s)", f.path, result.Err(), r.ID)
	if result.Reason == configlog.StaleBase {
		e.errorf("%s: see the current policy with config show --service %s, and make the change from revision %d", f.path, r.Name, state.Revision(r.Name))
	}
	return false
}
