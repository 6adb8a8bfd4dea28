package replay

// system is what stands between clients and targets: goldcrestsail or the
// naive version.
type system interface {
	// issueKey hands out a key for a request that has none from its client.
	issueKey(r *request, done func())
	// submit passes one attempt of a client on. done is called at most once,
	// when the response is on its way to the client.
	submit(a *attempt, entry *target, done func(reply)) (cancel func())
	// subCall makes a sub-call for a job that runs at a target.
	subCall(parent *job, op *Operation, done func(reply)) (cancel func())
	// stateChanged tells that a target announced another state.
	stateChanged(t *target)
	// died tells that a target's process ended. Its jobs are told after that.
	died(t *target)
	// silence makes a share of the connections of a domain carry no data.
	silence(domain string, share float64)
}
