// Command yardrock-data-plane runs a front node or a store node, by its settings.
package main

import (
	"context"
	"io"
	"math/rand/v2"
	"os"

	"yardrock.example/system/daemon"
	"yardrock.example/system/feed"
	"yardrock.example/system/front"
	"yardrock.example/system/httpapi"
	"yardrock.example/system/link"
	"yardrock.example/system/metrics"
	"yardrock.example/system/replica"
	"yardrock.example/system/settings"
	"yardrock.example/system/store"
)

func main() {
	if err := run(); err != nil {
		os.Exit(daemon.ReportError(err))
	}
}

// archiveDirectoryName is the subdirectory for archived events in a store's data directory.
const archiveDirectoryName = "cold"

// maxHealthBodyBytes limits the body of a health check request, which is normally empty.
const maxHealthBodyBytes = 1024

// roles holds the start function of every role that the settings accept.
var roles = map[string]func(*settings.DataPlane, *metrics.Registry) (daemon.Service, error){feed.RoleFront: startFront, feed.RoleStore: startStore}

// run runs the node until it is stopped or fails.
func run() error {
	signals := daemon.Signals()
	loaded, err := settings.LoadDataPlane(os.Args[1:], os.Stdout)
	if err != nil {
		return err
	}
	daemon.ConfigureLogging(loaded.Log)
	daemon.LimitMemory(loaded.Memory)
	registry, stopMetrics, err := metrics.Open(loaded.Metrics, metrics.DefaultPath)
	if err != nil {
		return err
	}
	defer stopMetrics()
	service, err := roles[loaded.Role](loaded, registry)
	if err != nil {
		return err
	}
	return daemon.Serve(signals, service, func() ([]string, error) {
		reloaded, err := settings.LoadDataPlane(os.Args[1:], io.Discard)
		return reloaded.Seeds, err
	})
}

// startFront starts a front node. Registry may be nil.
func startFront(loaded *settings.DataPlane, registry *metrics.Registry) (daemon.Service, error) {
	node, err := front.Start(front.Settings{Address: loaded.Address, PublicAddress: loaded.PublicAddress, Domain: loaded.Domain, Seeds: loaded.Seeds, Metrics: registry}, loaded.Network())
	if err != nil {
		return daemon.Service{}, err
	}
	return daemon.Service{Reload: node.SetSeeds, Drain: node.Drain, Close: node.Close}, nil
}

// startStore starts a store node, and a server for health checks if the settings name an address
// for it. Registry may be nil.
func startStore(loaded *settings.DataPlane, registry *metrics.Registry) (daemon.Service, error) {
	directory, err := loaded.OpenDirectory("")
	if err != nil {
		return daemon.Service{}, err
	}
	archiveDirectory, err := loaded.OpenDirectory(archiveDirectoryName)
	if err != nil {
		return daemon.Service{}, err
	}
	node, err := store.Start(store.Settings{
		Address: loaded.Address, Domain: loaded.Domain, Seeds: loaded.Seeds,
		Replica: replica.DefaultSettings(rand.Uint64()).WithMemorySize(loaded.Memory).WithMetrics(registry),
	}, directory, archiveDirectory, loaded.Network())
	if err != nil {
		return daemon.Service{}, err
	}
	service := daemon.Service{Reload: node.SetSeeds, Drain: func(context.Context) { node.Drain() }, Close: node.Close, Failed: node.ForeignFleet()}
	if loaded.HealthAddress == "" {
		return service, nil
	}
	listener, err := link.TCP{}.Listen(loaded.HealthAddress)
	if err != nil {
		node.Close()
		return daemon.Service{}, err
	}
	server := httpapi.Serve(listener, httpapi.HealthHandler(node.Ready), func() int64 { return maxHealthBodyBytes })
	service.Close = func() {
		server.Close()
		node.Close()
	}
	return service, nil
}
