// Package daemon contains what the programs do around their node: logging, signals, the
// memory limit, reloading of settings, and a graceful stop.
//
// Serve runs on the main goroutine and owns the running service: it reloads it, drains it
// and closes it.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"yardrock.example/system/apierror"
	"yardrock.example/system/settings"
)

// drainTimeout is how long requests in flight may take to finish after a stop signal.
const drainTimeout = 25 * time.Second

// exitFailure is the exit code of a daemon that could not start or go on.
const exitFailure = 2

// Service is a started node, as the program around it needs it.
type Service struct {
	// Reload replaces the addresses of the seeds.
	Reload func(seeds []string)
	// Drain stops taking requests and waits for those in flight until ctx ends.
	Drain func(ctx context.Context)
	// Close stops everything else. It is called once, after Drain.
	Close func()
	// Failed receives the reason why the process cannot go on; nil: it never does.
	Failed <-chan error
}

// Signals starts to receive the signals that Serve handles. Call it before anything
// else: the platform may send SIGHUP while the process still starts, which would end it.
//
//	signals := daemon.Signals()
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// ConfigureLogging makes the log write one line of key=value pairs per event to standard
// error, from a level on; the default is info.
//
//	daemon.ConfigureLogging("info")
func ConfigureLogging(level string) {
	log.SetHandler(logfmt.New(os.Stderr))
	if level == "" {
		level = "info"
	}
	log.SetLevelFromString(level)
}

// heapFraction is the fraction of a process's memory that the Go runtime may use. The rest
// is for the program's own image and for received bytes that are still in the kernel.
const heapFraction = 0.6

// LimitMemory sets the runtime's soft memory limit from the number of bytes that the
// process may use; near it, garbage is collected more often. 0 or less sets no limit.
//
//	daemon.LimitMemory(loaded.Memory)
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * heapFraction))
	}
}

// ReportError writes an error with its remedy to standard error and returns the exit
// code. After the help was shown there is nothing to report, and the code is 0.
//
//	os.Exit(daemon.ReportError(err))
func ReportError(err error) int {
	if errors.Is(err, settings.ErrHelpShown) {
		return 0
	}
	failed := apierror.Of(err)
	fmt.Fprintf(os.Stderr, "%s\nremedy: %s\n", failed.Message, failed.Remedy)
	return exitFailure
}

// Serve blocks until SIGTERM, SIGINT or a failure of the service, then drains and closes
// it. SIGHUP reloads the settings: readSeeds reads them again, and if they are invalid,
// the error is logged and the previous ones stay in force. Serve returns the failure of
// the service, or nil after a signal.
//
//	err := daemon.Serve(signals, service, func() ([]string, error) { ... })
func Serve(signals <-chan os.Signal, service Service, readSeeds func() ([]string, error)) error {
	failed := awaitStop(signals, service, readSeeds)
	log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	service.Drain(ctx)
	service.Close()
	log.Info("stopped")
	return failed
}

// awaitStop handles signals until the service must stop.
func awaitStop(signals <-chan os.Signal, service Service, readSeeds func() ([]string, error)) error {
	for {
		select {
		case failed := <-service.Failed:
			return failed
		case received := <-signals:
			if received != syscall.SIGHUP {
				return nil
			}
			reload(service, readSeeds)
		}
	}
}

// reload reads the seeds again and passes them to the service.
func reload(service Service, readSeeds func() ([]string, error)) {
	seeds, err := readSeeds()
	if err != nil {
		log.WithError(err).Error("settings not reloaded, the previous ones stay in force")
		return
	}
	service.Reload(seeds)
	log.WithField("seeds", fmt.Sprint(seeds)).Info("settings reloaded")
}
