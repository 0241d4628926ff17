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
serves until SIGTERM or SIGINT. Exits 0 after a stop that cut nothing off, 1 on a
failure, 2 on bad flags.
`

// stopTimeout bounds the wait for running requests on a stop.
const stopTimeout = 10 * time.Second

// servers starts and stops the servers of the units.
type servers struct {
	units []*unit
	log   zerolog.Logger
	// started has one server for each unit that listens, in order.
	started []*emul.Server
}

func newServers(units []*unit, log zerolog.Logger) *servers {
	return &servers{units: units, log: log}
}

func newLogger() zerolog.Logger {
	return zerolog.New(os.Stderr).With().Timestamp().Logger()
}

// serve runs the units until a signal.
func serve(units []*unit) subcommands.ExitStatus {
	log := newLogger()
	app := fx.New(
		fx.NopLogger,
		fx.StopTimeout(stopTimeout),
		fx.Supply(units, log),
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

// listening is one unit in the line that start prints.
type listening struct {
	Kind    kind           `json:"kind"`
	ID      string         `json:"id"`
	Address netip.AddrPort `json:"address"`
}

// start listens for each unit and prints the addresses.
func (s *servers) start(ctx context.Context) error {
	var line struct {
		Standins []listening `json:"standins"`
	}
	for _, u := range s.units {
		server, err := emul.Listen(u.address.AddrPort, u.handler())
		if err != nil {
			_ = s.stop(ctx)
			return errors.Annotatef(err, "%s %s", u.kind, u.id)
		}
		s.started = append(s.started, server)
		line.Standins = append(line.Standins, listening{u.kind, u.id, server.Addr()})
		s.log.Info().Str("kind", string(u.kind)).Str("id", u.id).Stringer("address", server.Addr()).Msg("listening")
	}
	text, err := json.Marshal(line)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Println(string(text))
	return errors.Trace(err)
}

// stop ends the servers side by side, so that none waits for another's requests.
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
