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

// archiveFolderName is the folder for archived events in a store's data folder.
const archiveFolderName = "cold"

// maxHealthBodyBytes is the size limit of a health check's body, which is normally empty.
const maxHealthBodyBytes = 1024

// roles starts the node of each role that the settings allow, so that a loaded role is one.
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
	figures, stopFigures, err := metrics.Open(loaded.Metrics, metrics.DefaultPath)
	if err != nil {
		return err
	}
	defer stopFigures()
	service, err := roles[loaded.Role](loaded, figures)
	if err != nil {
		return err
	}
	return daemon.Serve(signals, service, func() ([]string, error) {
		again, err := settings.LoadDataPlane(os.Args[1:], io.Discard)
		return again.Seeds, err
	})
}

// startFront starts a front node. Without figures it reports none.
func startFront(loaded *settings.DataPlane, figures *metrics.Registry) (daemon.Service, error) {
	node, err := front.Start(front.Settings{Address: loaded.Address, PublicAddress: loaded.PublicAddress, Domain: loaded.Domain, Seeds: loaded.Seeds, Metrics: figures}, loaded.Network())
	if err != nil {
		return daemon.Service{}, err
	}
	return daemon.Service{Reload: node.SetSeeds, Drain: node.Drain, Close: node.Close}, nil
}

// startStore starts a store node, with a server for health checks if the settings ask for
// one. Without figures it reports none.
func startStore(loaded *settings.DataPlane, figures *metrics.Registry) (daemon.Service, error) {
	folder, err := loaded.OpenFolder("")
	if err != nil {
		return daemon.Service{}, err
	}
	archiveFolder, err := loaded.OpenFolder(archiveFolderName)
	if err != nil {
		return daemon.Service{}, err
	}
	node, err := store.Start(store.Settings{
		Address: loaded.Address, Domain: loaded.Domain, Seeds: loaded.Seeds,
		Replica: replica.DefaultSettings(rand.Uint64()).WithMemorySize(loaded.Memory).WithMetrics(figures),
	}, folder, archiveFolder, loaded.Network())
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
