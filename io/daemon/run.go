package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"arbutustrestle/io/config"
)

const (
	// startTimeout limits the time to open the listeners.
	startTimeout = 10 * time.Second
	// stopTimeout limits the time to close the listeners after a drain.
	stopTimeout = 10 * time.Second
)

// Run runs an entry instance until SIGTERM, SIGINT or an operator's drain command, and
// until it has drained. The next signal shortens the waits of the drain, and the one after
// it ends the drain at once. Run returns an error when the instance could not start, or
// ended before it had drained.
func Run(settings config.Entry, log io.Writer) error {
	var drain *Drain
	app := fx.New(
		fx.Supply(settings),
		fx.Provide(func() io.Writer { return log }),
		fx.Provide(newDrain),
		parts,
		fx.Populate(&drain),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		return errors.Annotate(err, "construct the instance")
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	if err := start(app); err != nil {
		return errors.Trace(err)
	}
	drainErr := drain.await(signals)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return errors.Annotate(err, "stop")
	}
	return errors.Trace(drainErr)
}

func start(app *fx.App) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return errors.Annotate(app.Start(ctx), "start")
}
