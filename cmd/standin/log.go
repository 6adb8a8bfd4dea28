package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
)

// readHeaderTimeout closes connections that never send a request.
const readHeaderTimeout = 5 * time.Second

// newLogCommand returns the command "log", a log service that keeps records in
// memory.
func newLogCommand() *command {
	listen := "127.0.0.1:8090"
	options := logstore.Options{Retention: logstore.DefaultRetention, AppendRate: logstore.DefaultAppendRate}
	sub := flaggy.NewSubcommand("log")
	sub.Description = "Run a log service that keeps records in memory."
	sub.String(&listen, "", "listen", "Address to listen on.")
	sub.Duration(&options.Retention, "", "retention", "How long records are kept.")
	sub.Float64(&options.AppendRate, "", "append-rate", "Append requests accepted per second.")
	sub.String(&options.File, "", "file", "File that keeps the records across restarts.")
	return &command{sub: sub, run: func(ctx context.Context, log hclog.Logger) error {
		store := logstore.New(options)
		if options.File != "" {
			var err error
			if store, err = logstore.Open(options); err != nil {
				return err
			}
		}
		listener, err := net.Listen("tcp", listen)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: readHeaderTimeout}
		// Close without a grace period: clients repeat their long-polling reads.
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		log.Info("listening", "address", listener.Addr().String())
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}}
}
