package main

import (
	"fmt"
	"strings"
)

// route is a route of the operator's configuration.
type route struct {
	name, host, kind, service string
	timeoutS, aimS            float64
	priority                  int
}

// configText returns the operator's configuration in the form of the store.
func configText(version int, services []string, routes ...route) string {
	var rows, serviceRows []string
	for _, r := range routes {
		rows = append(rows, fmt.Sprintf(`[%q,%q,"/a/",%q,%g,%g,%d,%q,2,null]`, r.name, r.host, r.kind, r.timeoutS, r.aimS, r.priority, r.service))
	}
	for _, s := range services {
		serviceRows = append(serviceRows, fmt.Sprintf(`[%q,"/health",586,"h1",false]`, s))
	}
	return fmt.Sprintf(`{"version":%d,"routes":{"columns":["name","host","pathPrefix","routeType","timeoutS","targetLatencyS","priority","service","maxAttempts","weightedClusters"],"rows":[%s]},`+
		`"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[%s]},`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`,
		version, strings.Join(rows, ","), strings.Join(serviceRows, ","))
}
