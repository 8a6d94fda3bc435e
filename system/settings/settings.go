// Package settings loads the settings of a daemon from flags and an optional JSON file, and
// validates them. Flags override the file. Every error names the invalid setting and a
// remedy. The package keeps no state.
package settings

import (
	"net"
	"path/filepath"
	"time"

	"yardrock.example/system/link"
	"yardrock.example/system/vfs"
)

// Version is the version printed by --version.
const Version = "0.1.0"

// Common contains the settings of all daemons. The help text of each field documents it
// for operators.
type Common struct {
	File          string   `arg:"--settings" json:"-" help:"settings file (JSON); flags override it"`
	Address       string   `arg:"--address" json:"address" help:"IP and port at which other processes reach this one"`
	Listen        string   `arg:"--listen" json:"listen" help:"IP and port to listen on, if different from the address [default: the address]"`
	Domain        string   `arg:"--domain" json:"domain" help:"failure domain (zone) of this machine"`
	Seeds         []string `arg:"--seeds" json:"seeds" help:"addresses of three other processes"`
	DataDirectory string   `arg:"--folder" json:"folder" help:"data directory"`
	Log           string   `arg:"--log" json:"log" help:"log level: debug, info, warn or error"`
	Metrics       string   `arg:"--metrics" json:"metrics" help:"IP and port at which the process serves its metrics under /metrics, for Prometheus; none if not set"`
	Memory        int64    `arg:"--memory" json:"memory" help:"bytes of memory that this process may use; 0 means no limit [default: 0]"`
	// DiskFaultFile is the path of a file that names disk faults to inject; for tests only.
	DiskFaultFile string `arg:"--trial-disk" json:"trial_disk" help:"for tests only: keep unsynced writes in memory, and inject the disk faults that this file names"`
}

// peerTimeout is the time without acknowledgement after which a connection counts as broken.
// It is short enough that a client's request can still be answered over another one.
const peerTimeout = 2500 * time.Millisecond

// Network returns the network of the process. It dials from the IP of Address and, if
// Listen is set, listens there instead of on Address.
//
//	node, err := front.Start(front.Settings{...}, loaded.Network())
func (common *Common) Network() link.TCP {
	network := link.TCP{ListenAddresses: map[string]string{}, UserTimeout: peerTimeout}
	if host, _, err := net.SplitHostPort(common.Address); err == nil {
		network.LocalIP = host
	}
	if common.Listen != "" {
		network.ListenAddresses[common.Address] = common.Listen
	}
	return network
}

// OpenDirectory opens the data directory, or a subdirectory of it, and creates it if needed.
// If DiskFaultFile is set, the directory injects disk faults.
//
//	directory, err := loaded.OpenFolder("cold")
func (common *Common) OpenDirectory(subdirectory string) (vfs.Directory, error) {
	directory, err := vfs.Open(filepath.Join(common.DataDirectory, subdirectory))
	if err != nil || common.DiskFaultFile == "" {
		return directory, err
	}
	return vfs.NewFaultDirectory(directory, common.DiskFaultFile), nil
}

// DataPlane contains the settings of yardrock-data-plane.
type DataPlane struct {
	Common
	Role          string `arg:"--role" json:"role" help:"front or store"`
	PublicAddress string `arg:"--public" json:"public" help:"IP and port for clients (front)"`
	HealthAddress string `arg:"--health" json:"health" help:"IP and port for health checks (store)"`
}

// Version returns the program's name and version; go-arg prints it.
//
//	fmt.Println(DataPlane{}.Version())
func (DataPlane) Version() string { return "yardrock-data-plane " + Version }

// Description returns what the program does; go-arg prints it.
//
//	fmt.Println(DataPlane{}.Description())
func (DataPlane) Description() string {
	return "Runs a front node, which serves clients, or a store node, which stores session logs."
}

// ControlPlane contains the settings of yardrock-control-plane.
type ControlPlane struct {
	Common
	AdminAddress      string `arg:"--administration" json:"administration" help:"IP and port of the admin API"`
	FoundingStores    int    `arg:"--founding-stores" json:"founding_stores" help:"stores that must be live before the first store list is created [default: 3]"`
	Groups            uint32 `arg:"--groups" json:"groups" help:"session log groups, fixed when the fleet is bootstrapped [default: 32]"`
	ReplicationFactor uint32 `arg:"--copies" json:"copies" help:"replicas of each session log group, fixed when the fleet is bootstrapped [default: 3]"`
	MaxControls       int    `arg:"--most-controls" json:"most_controls" help:"maximum number of members of the control group [default: 5]"`
	RootTokenHash     string `arg:"--root-token-hash" json:"root_token_hash" help:"SHA-256 (hex) of the root token, which is valid until a config names operators"`
}

// Version returns the program's name and version; go-arg prints it.
//
//	fmt.Println(ControlPlane{}.Version())
func (ControlPlane) Version() string { return "yardrock-control-plane " + Version }

// Description returns what the program does; go-arg prints it.
//
//	fmt.Println(ControlPlane{}.Description())
func (ControlPlane) Description() string {
	return "Runs a control node, which orders changes of the config, domains, runners and store list, and serves the admin API."
}
