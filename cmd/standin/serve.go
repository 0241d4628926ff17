package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"arbutustrestle/io/emul"
)

const servingUsage = `Prints one JSON line with the addresses on stdout, logs JSON lines to stderr and
serves until SIGTERM or SIGINT. Exits 0 after a stop in which all running requests
ended, 1 on a failure, 2 on bad flags.
`

// stopTimeout is the longest wait for running requests during a stop.
const stopTimeout = 10 * time.Second

// servers starts and stops the servers of the stand-ins.
type servers struct {
	standIns []*standIn
	log      zerolog.Logger
	// started holds the server of each stand-in that listens, in the order of standIns.
	started []*emul.Server
}

func newServers(standIns []*standIn, log zerolog.Logger) *servers {
	return &servers{standIns: standIns, log: log}
}

func newLogger() zerolog.Logger {
	return zerolog.New(os.Stderr).With().Timestamp().Logger()
}

// serve runs the stand-ins until SIGTERM or SIGINT.
func serve(standIns []*standIn) subcommands.ExitStatus {
	log := newLogger()
	app := fx.New(
		fx.NopLogger,
		fx.StopTimeout(stopTimeout),
		fx.Supply(standIns, log),
		fx.Provide(newServers),
		fx.Invoke(func(lifecycle fx.Lifecycle, s *servers) {
			lifecycle.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
		}),
	)
	if err := run(app); err != nil {
		log.Error().Err(err).Msg("failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func run(app *fx.App) error {
	ctx := context.Background()
	if err := app.Start(ctx); err != nil {
		return errors.Trace(err)
	}
	<-app.Wait()
	ctx, cancel := context.WithTimeout(ctx, app.StopTimeout())
	defer cancel()
	return errors.Trace(app.Stop(ctx))
}

// listener is one stand-in in the JSON line that start prints.
type listener struct {
	Kind    kind           `json:"kind"`
	ID      string         `json:"id"`
	Address netip.AddrPort `json:"address"`
}

// start opens a listener for each stand-in and prints their addresses as one JSON line.
func (s *servers) start(ctx context.Context) error {
	var line struct {
		Standins []listener `json:"standins"`
	}
	for _, u := range s.standIns {
		server, err := emul.Listen(u.address.AddrPort, u.handler())
		if err != nil {
			_ = s.stop(ctx)
			return errors.Annotatef(err, "%s %s", u.kind, u.id)
		}
		s.started = append(s.started, server)
		line.Standins = append(line.Standins, listener{u.kind, u.id, server.Addr()})
		s.log.Info().Str("kind", string(u.kind)).Str("id", u.id).Stringer("address", server.Addr()).Msg("listening")
	}
	text, err := json.Marshal(line)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Println(string(text))
	return errors.Trace(err)
}

// stop stops the servers concurrently, so that none waits for the requests of another.
func (s *servers) stop(ctx context.Context) error {
	results := make(chan error, len(s.started))
	for _, server := range s.started {
		go func() { results <- server.Stop(ctx) }()
	}
	var first error
	for range s.started {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	s.log.Info().Int("servers", len(s.started)).Msg("stopped")
	return errors.Trace(first)
}
