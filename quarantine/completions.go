package quarantine

import "time"

// maxCompletions bounds the completions in each generation of completions.
const maxCompletions = 4096

// completions remembers when requests completed, of the last maxCompletions different
// ones at least.
type completions struct {
	recent, older map[Fingerprint]time.Time
}

func (c *completions) add(f Fingerprint, at time.Time) {
	if c.recent == nil || len(c.recent) >= maxCompletions {
		c.older, c.recent = c.recent, make(map[Fingerprint]time.Time)
	}
	c.recent[f] = at
}

// last returns when f last completed, or the zero time if that is not known.
func (c *completions) last(f Fingerprint) time.Time {
	if at, ok := c.recent[f]; ok {
		return at
	}
	return c.older[f]
}
