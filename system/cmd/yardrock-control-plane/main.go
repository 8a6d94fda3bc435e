// Command yardrock-control-plane runs a control node.
package main

import (
	"context"
	"io"
	"math/rand/v2"
	"os"

	"yardrock.example/system/controlplane"
	"yardrock.example/system/daemon"
	"yardrock.example/system/metrics"
	"yardrock.example/system/replica"
	"yardrock.example/system/settings"
)

func main() {
	if err := run(); err != nil {
		os.Exit(daemon.ReportError(err))
	}
}

// run runs the node until it is stopped or fails.
func run() error {
	signals := daemon.Signals()
	loaded, err := settings.LoadControlPlane(os.Args[1:], os.Stdout)
	if err != nil {
		return err
	}
	daemon.ConfigureLogging(loaded.Log)
	daemon.LimitMemory(loaded.Memory)
	directory, err := loaded.OpenDirectory("")
	if err != nil {
		return err
	}
	registry, stopMetrics, err := metrics.Open(loaded.Metrics, metrics.DefaultPath)
	if err != nil {
		return err
	}
	defer stopMetrics()
	node, err := controlplane.Start(controlplane.Settings{
		Address: loaded.Address, AdminAddress: loaded.AdminAddress, Domain: loaded.Domain, Seeds: loaded.Seeds,
		FoundingStores: loaded.FoundingStores, Groups: loaded.Groups, ReplicationFactor: loaded.ReplicationFactor, MaxControls: loaded.MaxControls,
		Replica: replica.DefaultSettings(rand.Uint64()).WithMemorySize(loaded.Memory).WithMetrics(registry),
	}, directory, loaded.Network())
	if err != nil {
		return err
	}
	server, err := controlplane.ServeAdmin(node, loaded.RootTokenHash)
	if err != nil {
		node.Close()
		return err
	}
	return daemon.Serve(signals, daemon.Service{
		Reload: node.SetSeeds,
		Drain: func(ctx context.Context) {
			node.Drain()
			_ = server.Drain(ctx) // Close ends the requests that are left when ctx ends
		},
		Close: func() {
			server.Close()
			node.Close()
		},
	}, func() ([]string, error) {
		reloaded, err := settings.LoadControlPlane(os.Args[1:], io.Discard)
		return reloaded.Seeds, err
	})
}
