package node

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// routingResult converts the response or failure of an attempt to a result for
// the router.
func routingResult(importance int, latency time.Duration, response *peerrpc.CallResponse, failure *kind.Error) routing.Result {
	result := routing.Result{Importance: importance, Latency: latency}
	if failure != nil {
		result.Kind = failure.Kind
	}
	if response == nil {
		return result
	}
	result.Responded, result.Status = true, int(response.Status)
	if load := response.Load; load != nil {
		result.Load = &routing.Load{
			InFlight: int(load.InFlight), Waiting: int(load.Waiting), Limit: int(load.Limit), Draining: load.Draining,
			ServiceTime: time.Duration(load.ServiceTimeMicros) * time.Microsecond,
		}
		for _, count := range load.ByImportance {
			result.Load.ByImportance = append(result.Load.ByImportance, int(count))
		}
	}
	return result
}
