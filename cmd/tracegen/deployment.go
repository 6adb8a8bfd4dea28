package main

import "github.com/goldcrestsail/goldcrestsail/internal/replay"

// deployment is one of the two workloads of the design.
type deployment struct {
	head replay.Head
	// base is the usual demand in requests per second, and mix its shares.
	base float64
	mix  map[string]float64
	// capacity is the demand at this mix that fills the slots of the service
	// that is full first.
	capacity float64
	// deep is the service at the end of the chains, edge one at their start.
	deep, edge string
	// silentDomain is the failure domain whose connections go silent.
	silentDomain string
	// keyed is the important non-idempotent operation, crash the operation that
	// ends each target that runs it.
	keyed, crash string
}

// client repeats every failure almost at once and waits less than the deadline,
// as the clients do that keep an overload going.
var client = replay.Client{Retries: 4, BackoffMS: 50, AttemptTimeoutMS: 1000}

// qureshi: the four domains have one target of each service. sorthouse (40
// slots, 80 ms) is full first, at 500 lookups or 714 requests per second.
func qureshi() deployment {
	return deployment{
		head: replay.Head{
			Deployment: "qureshi", FailureDomains: []string{"lahore", "faisalabad", "multan", "sialkot"},
			OneWayUS: 1000, ClientOneWayUS: 3000, Client: client,
			Services: []replay.Service{
				{Name: "binwatch", Targets: 4, Slots: 70, Connections: 500, ColdStartMS: 3000},
				{Name: "paydesk", Targets: 4, Slots: 70, Connections: 500, ColdStartMS: 3000},
				{Name: "routebook", Targets: 4, Slots: 70, Connections: 500, ColdStartMS: 3000},
				{Name: "sorthouse", Targets: 4, Slots: 10, Connections: 150, ColdStartMS: 3000},
			},
			Operations: []replay.Operation{
				{Name: "payout", Service: "paydesk", Class: "payout", Method: "POST", Path: "/payouts/*/confirm", Important: true, NonIdempotent: true, TimeoutMS: 2000, OwnMS: 20, Calls: []string{"depositor-lookup"}},
				{Name: "bin-level", Service: "binwatch", Class: "bin-level", Method: "GET", Path: "/bins/*", Importance: 5, Retryable: true, TimeoutMS: 2000, OwnMS: 8, Calls: []string{"route-lookup"}},
				{Name: "schedule", Service: "routebook", Class: "schedule", Method: "GET", Path: "/schedules/*", Importance: 6, Retryable: true, TimeoutMS: 2000, OwnMS: 10, Calls: []string{"bin-lookup"}},
				{Name: "sort-result", Service: "binwatch", Class: "sort-result", Method: "GET", Path: "/results/*", Importance: 8, Retryable: true, TimeoutMS: 2000, OwnMS: 5, Calls: []string{"sort-lookup"}},
				{Name: "depositor-lookup", Service: "routebook", Class: "lookup", Method: "GET", Path: "/depositors/*", Importance: 5, Retryable: true, TimeoutMS: 2000, OwnMS: 6, Calls: []string{"sort-lookup"}},
				{Name: "route-lookup", Service: "routebook", Class: "lookup", Method: "GET", Path: "/routes/*", Importance: 5, Retryable: true, TimeoutMS: 2000, OwnMS: 6, Calls: []string{"sort-lookup"}},
				{Name: "bin-lookup", Service: "binwatch", Class: "lookup", Method: "GET", Path: "/lookup/*", Importance: 6, Retryable: true, TimeoutMS: 2000, OwnMS: 5},
				{Name: "sort-lookup", Service: "sorthouse", Class: "lookup", Method: "GET", Path: "/lots/*", Importance: 5, Retryable: true, TimeoutMS: 2000, OwnMS: 80},
				{Name: "import", Service: "binwatch", Class: "import", Method: "PUT", Path: "/imports/*", Importance: 9, Retryable: true, Crash: true, TimeoutMS: 2000, OwnMS: 20},
			},
		},
		base: 400, capacity: 714, mix: map[string]float64{"payout": 0.1, "bin-level": 0.4, "sort-result": 0.2, "schedule": 0.3},
		deep: "sorthouse", edge: "binwatch", silentDomain: "lahore", keyed: "payout", crash: "import",
	}
}

// takstolshuset: pris (135 slots, held for 160 ms with its lookup in arkiv) is
// full first, at 840 lookups or 1,050 requests per second.
func takstolshuset() deployment {
	return deployment{
		head: replay.Head{
			Deployment: "takstolshuset", FailureDomains: []string{"mid-1", "mid-2", "mid-3"},
			OneWayUS: 1500, ClientOneWayUS: 8000, Client: client,
			Services: []replay.Service{
				{Name: "katalog", Targets: 3, Slots: 150, Connections: 1000, ColdStartMS: 3000},
				{Name: "order", Targets: 3, Slots: 150, Connections: 1000, ColdStartMS: 3000},
				{Name: "arkiv", Targets: 4, Slots: 110, Connections: 750, ColdStartMS: 3000},
				{Name: "pris", Targets: 3, Slots: 45, Connections: 350, ColdStartMS: 3000},
			},
			Operations: []replay.Operation{
				{Name: "order", Service: "order", Class: "order", Method: "POST", Path: "/orders", Important: true, NonIdempotent: true, TimeoutMS: 2500, OwnMS: 40, Calls: []string{"price-lookup"}},
				{Name: "quote", Service: "pris", Class: "quote", Method: "GET", Path: "/quotes/*", Importance: 1, Important: true, Retryable: true, TimeoutMS: 2500, OwnMS: 50, Calls: []string{"archive-lookup"}},
				{Name: "browse", Service: "katalog", Class: "browse", Method: "GET", Path: "/items/**", Importance: 6, Retryable: true, TimeoutMS: 2500, OwnMS: 20, Calls: []string{"price-lookup"}},
				{Name: "history", Service: "order", Class: "history", Method: "GET", Path: "/orders/**", Importance: 7, Retryable: true, TimeoutMS: 2500, OwnMS: 15, Calls: []string{"archive-lookup"}},
				{Name: "price-lookup", Service: "pris", Class: "lookup", Method: "GET", Path: "/prices/*", Importance: 6, Retryable: true, TimeoutMS: 2500, OwnMS: 60, Calls: []string{"archive-lookup"}},
				{Name: "archive-lookup", Service: "arkiv", Class: "lookup", Method: "GET", Path: "/items/*", Importance: 6, Retryable: true, TimeoutMS: 2500, OwnMS: 100},
				{Name: "import", Service: "katalog", Class: "import", Method: "PUT", Path: "/imports/*", Importance: 9, Retryable: true, Crash: true, TimeoutMS: 2500, OwnMS: 20},
			},
		},
		base: 600, capacity: 1050, mix: map[string]float64{"order": 0.08, "quote": 0.12, "browse": 0.6, "history": 0.2},
		deep: "arkiv", edge: "katalog", silentDomain: "mid-1", keyed: "order", crash: "import",
	}
}
