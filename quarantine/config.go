package quarantine

import "time"

// Config configures a Table. A zero field takes the default given in parentheses.
type Config struct {
	// Reporter identifies this process among all reporters, such as a hash of
	// its ID. It has no default.
	Reporter uint64
	// MaxRecords bounds the number of fingerprints with a record (1,024).
	MaxRecords int
	// SuspectTTL is how long a fingerprint stays suspect after the last entry
	// about it (10 min).
	SuspectTTL time.Duration
	// QuarantineTTL is how long a fingerprint stays quarantined after the last
	// entry about it (1 h). It should be at least SuspectTTL. If RequireTrial is set,
	// the request is suspect again after it, and each further crash on trial
	// quarantines it for repeatFactor times as long, up to MaxEntryTTL.
	QuarantineTTL time.Duration
	// TrialTimeout ends a trial whose end was never reported, so that another
	// suspect can run (1 min).
	TrialTimeout time.Duration
	// RequireTrial quarantines a request only after trialCrashes crashes on trial, or
	// after MaxCrashes crashes at different moments. A request with one crash may then
	// run beside other suspects; from the second crash on it runs on trial. Otherwise
	// every suspect runs on trial, and the second crash quarantines it.
	RequireTrial bool
	// MaxCrashes is the number of crashes, each more than CrashSpacing after the one
	// before, that quarantine a request if RequireTrial is set (4).
	MaxCrashes int
	// CrashSpacing separates crashes with different causes from those of several
	// targets that end together (1 s).
	CrashSpacing time.Duration
	// CompletionWindow is the time before a crash in which a completion of the same
	// request shows that it is not the cause (0).
	CompletionWindow time.Duration
	// CompletionDelay is how long completions are batched before they are
	// published (500 ms).
	CompletionDelay time.Duration
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WithDefaults returns c with zero fields replaced by their defaults.
func (c Config) WithDefaults() Config {
	setDefault(&c.MaxRecords, 1024)
	setDefault(&c.SuspectTTL, 10*time.Minute)
	setDefault(&c.QuarantineTTL, time.Hour)
	setDefault(&c.TrialTimeout, time.Minute)
	setDefault(&c.MaxCrashes, 4)
	setDefault(&c.CrashSpacing, time.Second)
	setDefault(&c.CompletionDelay, 500*time.Millisecond)
	return c
}
