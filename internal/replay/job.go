package replay

// job is one request at a target.
type job struct {
	op      *Operation
	attempt *attempt
	// context is what the system attached, such as the token of the chain.
	context any
	done    func(reply)
	// lost is called instead of done when the process dies.
	lost       func()
	timer      *timer
	cancelCall func()
	over       bool
}

// stop ends the job's own work and its sub-call.
func (j *job) stop() {
	j.over = true
	j.timer.stop()
	if j.cancelCall != nil {
		j.cancelCall()
		j.cancelCall = nil
	}
}
