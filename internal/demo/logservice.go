package demo

import (
	"net"
	"net/http"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// startLog starts a stand-in log service on a loopback socket.
func startLog() (client logservice.Client, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{Handler: logstore.New(logstore.Options{}).Handler()}
	go server.Serve(listener)
	client = logservice.NewHTTPClient(logservice.HTTPOptions{URL: "http://" + listener.Addr().String()})
	return client, func() { server.Close() }, nil
}
