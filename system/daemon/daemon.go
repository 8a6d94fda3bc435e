// Package daemon contains what the programs share apart from their node: logging, signals,
// the memory limit, reloading of settings, and graceful shutdown.
//
// Serve runs on the main goroutine and owns the running service: it reloads, drains and
// closes it.
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

// drainTimeout bounds how long requests in flight may take to finish during shutdown.
const drainTimeout = 25 * time.Second

// exitFailure is the exit code of a daemon that failed to start or had to stop.
const exitFailure = 2

// Service gives Serve control of a running node.
type Service struct {
	// Reload replaces the seed addresses.
	Reload func(seeds []string)
	// Drain stops accepting requests and waits for those in flight until ctx ends.
	Drain func(ctx context.Context)
	// Close stops everything else. It is called once, after Drain.
	Close func()
	// Failed receives the error after which the process cannot continue; it may be nil.
	Failed <-chan error
}

// Signals starts receiving the signals that Serve handles. Call it before anything else: the
// platform may send SIGHUP during startup, which by default would terminate the process.
//
//	signals := daemon.Signals()
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// ConfigureLogging writes log entries of a level and above to standard error, one line of
// key=value pairs each. The default level is info.
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
// is for the executable and for received bytes in kernel buffers.
const heapFraction = 0.6

// LimitMemory sets the Go runtime's soft memory limit to a fraction of the bytes that the
// process may use; near it, garbage is collected more often. 0 or less sets no limit.
//
//	daemon.LimitMemory(loaded.Memory)
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * heapFraction))
	}
}

// ReportError writes an error with its remedy to standard error and returns the exit code.
// For settings.ErrHelpShown it writes nothing and returns 0.
//
//	os.Exit(daemon.ReportError(err))
func ReportError(err error) int {
	if errors.Is(err, settings.ErrHelpShown) {
		return 0
	}
	apiErr := apierror.Of(err)
	fmt.Fprintf(os.Stderr, "%s\nremedy: %s\n", apiErr.Message, apiErr.Remedy)
	return exitFailure
}

// Serve blocks until SIGTERM, SIGINT or a failure of the service, then drains and closes
// it. On SIGHUP it calls readSeeds to read the settings again; if they are invalid, it logs
// the error and keeps the current seeds. Serve returns the failure of the service, or nil
// after a signal.
//
//	err := daemon.Serve(signals, service, func() ([]string, error) { ... })
func Serve(signals <-chan os.Signal, service Service, readSeeds func() ([]string, error)) error {
	err := awaitStop(signals, service, readSeeds)
	log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	service.Drain(ctx)
	service.Close()
	log.Info("stopped")
	return err
}

// awaitStop handles signals until the service has to stop.
func awaitStop(signals <-chan os.Signal, service Service, readSeeds func() ([]string, error)) error {
	for {
		select {
		case err := <-service.Failed:
			return err
		case received := <-signals:
			if received != syscall.SIGHUP {
				return nil
			}
			reload(service, readSeeds)
		}
	}
}

// reload reads the seeds from the settings again and passes them to the service.
func reload(service Service, readSeeds func() ([]string, error)) {
	seeds, err := readSeeds()
	if err != nil {
		log.WithError(err).Error("settings are invalid; keeping the current ones")
		return
	}
	service.Reload(seeds)
	log.WithField("seeds", fmt.Sprint(seeds)).Info("settings reloaded")
}
