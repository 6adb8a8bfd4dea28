// Package demo runs one of two example deployments on loopback sockets, with and
// without the overload control layer, through an overload and the recovery from
// it.
package demo

import (
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// deployment describes the services of a customer and the load on them.
type deployment struct {
	customer string
	region   string
	// domains are the failure domains; the targets of a service are spread over them
	// in order.
	domains  []string
	services []service
	classes  []loadClass
	// slowedService is the service whose service time grows in the overload phase.
	slowedService string
}

type service struct {
	name        string
	targets     int
	slots       int
	connections int
	serviceTime time.Duration
	calls       []target.SubCall
	classes     []policy.Class
}

// loadClass is one kind of client request.
type loadClass struct {
	name    string
	service string
	method  string
	path    string
	// rate is the normal demand in requests per second.
	rate float64
	// keyed requests carry an idempotency key.
	keyed bool
	// timeout is the client's deadline.
	timeout time.Duration
}

// coldStart is the cold-start time set in the policies of the demo.
const coldStart = 500 * time.Millisecond

// retryAllowance is the retry allowance set in the policies of the demo.
const retryAllowance = 2

func retryableClass(name string, importance int, methods []string, path string, timeout time.Duration) policy.Class {
	return policy.Class{
		Name: name, Importance: importance, Timeout: timeout, Retryable: true,
		Match: []policy.Match{{Methods: methods, Path: path}},
	}
}

func nonIdempotent(name string, path string, timeout time.Duration) policy.Class {
	return policy.Class{
		Name: name, Importance: 0, Timeout: timeout, NonIdempotent: true,
		Match: []policy.Match{{Methods: []string{http.MethodPost}, Path: path}},
	}
}

var readMethods = []string{http.MethodGet}

// deployments by name. Slots, targets and connections follow the design document;
// service times are short enough for one machine to carry the load.
var deployments = map[string]*deployment{
	"qureshi": {
		customer: "qureshi", region: "punjab", domains: []string{"lahore", "faisalabad", "multan", "sialkot"}, slowedService: "sorthouse",
		services: []service{
			{name: "binwatch", targets: 4, slots: 70, connections: 500, serviceTime: 10 * time.Millisecond,
				calls:   []target.SubCall{{Service: "sorthouse.qureshi", Path: "/results/bin", PathPrefix: "/bins"}},
				classes: []policy.Class{retryableClass("reading", 2, readMethods, "/readings/**", time.Second), retryableClass("bin-level", 4, readMethods, "/bins/**", time.Second)}},
			{name: "paydesk", targets: 4, slots: 70, connections: 500, serviceTime: 20 * time.Millisecond,
				calls:   []target.SubCall{{Service: "sorthouse.qureshi", Path: "/results/payout"}},
				classes: []policy.Class{nonIdempotent("payout", "/payouts/*/confirm", 2*time.Second)}},
			{name: "routebook", targets: 4, slots: 70, connections: 500, serviceTime: 10 * time.Millisecond,
				calls:   []target.SubCall{{Service: "binwatch.qureshi", Path: "/bins/route"}},
				classes: []policy.Class{retryableClass("schedule", 5, readMethods, "/schedules/**", time.Second)}},
			{name: "sorthouse", targets: 4, slots: 10, connections: 150, serviceTime: 40 * time.Millisecond,
				classes: []policy.Class{retryableClass("sorting-result", 6, readMethods, "/results/**", time.Second)}},
		},
		classes: []loadClass{
			{name: "payout", service: "paydesk", method: http.MethodPost, path: "/payouts/7/confirm", rate: 50, keyed: true, timeout: 2 * time.Second},
			{name: "reading", service: "binwatch", method: http.MethodGet, path: "/readings/7", rate: 150, timeout: time.Second},
			{name: "bin-level", service: "binwatch", method: http.MethodGet, path: "/bins/7", rate: 150, timeout: time.Second},
			{name: "schedule", service: "routebook", method: http.MethodGet, path: "/schedules/7", rate: 150, timeout: time.Second},
			{name: "sorting-result", service: "sorthouse", method: http.MethodGet, path: "/results/7", rate: 300, timeout: time.Second},
		},
	},
	"takstolshuset": {
		customer: "takstolshuset", region: "se-mid", domains: []string{"se-mid-1", "se-mid-2", "se-mid-3"}, slowedService: "arkiv",
		services: []service{
			{name: "katalog", targets: 3, slots: 150, connections: 1000, serviceTime: 20 * time.Millisecond,
				calls:   []target.SubCall{{Service: "arkiv.takstolshuset", Path: "/history/parts"}},
				classes: []policy.Class{retryableClass("catalogue", 5, readMethods, "/catalogue/**", 2*time.Second)}},
			{name: "order", targets: 3, slots: 150, connections: 1000, serviceTime: 20 * time.Millisecond,
				calls: []target.SubCall{
					{Service: "pris.takstolshuset", Path: "/quotes/order"},
					{Service: "arkiv.takstolshuset", Path: "/history/order"},
				},
				classes: []policy.Class{nonIdempotent("order", "/orders", 3*time.Second)}},
			{name: "pris", targets: 3, slots: 45, connections: 350, serviceTime: 30 * time.Millisecond,
				classes: []policy.Class{retryableClass("quote", 1, readMethods, "/quotes/**", time.Second)}},
			{name: "arkiv", targets: 4, slots: 110, connections: 750, serviceTime: 400 * time.Millisecond,
				classes: []policy.Class{retryableClass("order-history", 6, readMethods, "/history/**", 3*time.Second)}},
		},
		classes: []loadClass{
			{name: "order", service: "order", method: http.MethodPost, path: "/orders", rate: 40, keyed: true, timeout: 8 * time.Second},
			{name: "quote", service: "pris", method: http.MethodGet, path: "/quotes/7", rate: 150, timeout: time.Second},
			{name: "catalogue", service: "katalog", method: http.MethodGet, path: "/catalogue/7", rate: 300, timeout: 6 * time.Second},
			{name: "order-history", service: "arkiv", method: http.MethodGet, path: "/history/7", rate: 350, timeout: 6 * time.Second},
		},
	},
}

// record returns the configuration record of a service.
func (d *deployment) record(s *service, changeID string) *configlog.Record {
	body := &configlog.PolicyBody{
		Slots: new(s.slots), Connections: new(s.connections), RetryAllowance: new(retryAllowance),
		ColdStartMS: new(coldStart.Milliseconds()),
	}
	for _, c := range s.classes {
		body.Classes = append(body.Classes, configlog.ClassBody{
			Name: c.Name, Importance: new(c.Importance), Match: c.Match, Retryable: c.Retryable,
			NonIdempotent: c.NonIdempotent, TimeoutMS: new(c.Timeout.Milliseconds()),
		})
	}
	return &configlog.Record{
		Schema: configlog.Schema2, ID: changeID, Name: policy.ServiceName{Customer: d.customer, Service: s.name},
		Op: configlog.Put, Author: "demo", Policy: body,
	}
}

// policy returns the classes of a service as a policy.
func (d *deployment) policy(s *service) *policy.Policy {
	return &policy.Policy{Name: policy.ServiceName{Customer: d.customer, Service: s.name}, Classes: s.classes}
}
