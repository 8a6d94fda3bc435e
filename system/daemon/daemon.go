// Package daemon is what both programs do round their node: logs, signals,
// settings that are read again, and a drained stop.
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

const drainTimeout = 25 * time.Second

// Service is a started node as the program sees it.
type Service struct {
	Reload func(seeds []string)
	Drain  func(ctx context.Context)
	Close  func()
	// Failed, if any, gives the reason why the process can't go on.
	Failed <-chan error
}

// Signals begins to take signals. It is called before anything else, since the
// platform may tell a process of changed settings while it still starts.
//
//	signals := daemon.Signals()
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// ConfigureLogging sends one key=value line per event to standard error.
//
//	daemon.ConfigureLogging("info")
func ConfigureLogging(level string) {
	log.SetHandler(logfmt.New(os.Stderr))
	if level == "" {
		level = "info"
	}
	log.SetLevelFromString(level)
}

// heapFraction is the part of a process's memory that the runtime may take; the rest is for the
// program itself and for bytes that arrived and were not read.
const heapFraction = 0.6

// LimitMemory sets a soft limit for the runtime from the bytes that the process may use: near
// it, garbage is collected more often. 0 leaves the runtime as it is.
//
//	daemon.LimitMemory(loaded.Memory)
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * heapFraction))
	}
}

// ReportError tells a failure with its remedy and gives the exit code.
//
//	os.Exit(daemon.ReportError(err))
func ReportError(err error) int {
	if errors.Is(err, settings.ErrHelpShown) {
		return 0
	}
	failed := apierror.Of(err)
	fmt.Fprintf(os.Stderr, "%s\nremedy: %s\n", failed.Message, failed.Remedy)
	return 2
}

// Serve serves until SIGTERM or SIGINT, then drains. SIGHUP reads the settings
// again; what is wrong with them is told and the old ones stay. An error is why the
// process can't go on.
//
//	err := daemon.Serve(signals, running, func() ([]string, error) { ... })
func Serve(signals <-chan os.Signal, service Service, seeds func() ([]string, error)) error {
	var failed error
	for serving := true; serving; {
		select {
		case failed = <-service.Failed:
			serving = false
		case received := <-signals:
			if serving = received == syscall.SIGHUP; serving {
				reload(service, seeds)
			}
		}
	}
	log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	service.Drain(ctx)
	service.Close()
	log.Info("stopped")
	return failed
}

func reload(service Service, seeds func() ([]string, error)) {
	read, err := seeds()
	if err != nil {
		log.WithField("error", err.Error()).Error("settings_refused")
		return
	}
	service.Reload(read)
	log.WithField("seeds", fmt.Sprint(read)).Info("settings_reread")
}
