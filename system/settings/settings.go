// Package settings loads the settings of a daemon from a JSON file and from flags and
// validates them. Flags override the file. Every error names the setting that is wrong
// and what to do about it. The package keeps no state.
package settings

import (
	"net"
	"path/filepath"
	"time"

	"yardrock.example/system/link"
	"yardrock.example/system/vfs"
)

// Version is the version that --version prints.
const Version = "0.1.0"

// Common are the settings that all daemons have. The help text of each field is its
// description for operators.
type Common struct {
	File       string   `arg:"--settings" json:"-" help:"settings file (JSON); flags win over it"`
	Address    string   `arg:"--address" json:"address" help:"IP and port for other processes"`
	Listen     string   `arg:"--listen" json:"listen" help:"IP and port to listen on, if others reach it under the address [default: the address]"`
	Domain     string   `arg:"--domain" json:"domain" help:"domain (zone) of this machine"`
	Seeds      []string `arg:"--seeds" json:"seeds" help:"three addresses of other processes"`
	DataFolder string   `arg:"--folder" json:"folder" help:"data folder"`
	Log        string   `arg:"--log" json:"log" help:"log level: debug, info, warn or error"`
	Metrics    string   `arg:"--metrics" json:"metrics" help:"IP and port at which the process serves its figures under /metrics, for Prometheus; none if not set"`
	Memory     int64    `arg:"--memory" json:"memory" help:"bytes of memory that this process may use; 0 sets no limit [default: 0]"`
	// FaultyDisk, a file that names disk faults, is for fault injection in tests only.
	FaultyDisk string `arg:"--trial-disk" json:"trial_disk" help:"for trials only: keep unsynced writes in memory, and obey the disk faults that this file names"`
}

// peerTimeout is after what time without acknowledgement a connection counts as broken:
// early enough that a caller can still be answered over another one.
const peerTimeout = 2500 * time.Millisecond

// Network returns the network of the process. It dials from the IP of Address, and
// listens on Listen, if set, where others use Address.
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

// OpenFolder opens the data folder, or a folder in it, and creates it if needed. With
// FaultyDisk the folder injects disk faults.
//
//	folder, err := loaded.OpenFolder("cold")
func (common *Common) OpenFolder(subfolder string) (vfs.Directory, error) {
	folder, err := vfs.Open(filepath.Join(common.DataFolder, subfolder))
	if err != nil || common.FaultyDisk == "" {
		return folder, err
	}
	return vfs.NewFaultDirectory(folder, common.FaultyDisk), nil
}

// DataPlane are the settings of yardrock-data-plane.
type DataPlane struct {
	Common
	Role          string `arg:"--role" json:"role" help:"front or store"`
	PublicAddress string `arg:"--public" json:"public" help:"IP and port for callers (front)"`
	HealthAddress string `arg:"--health" json:"health" help:"IP and port for health queries (store)"`
}

// Version returns the program's name and version; go-arg prints it.
//
//	fmt.Println(DataPlane{}.Version())
func (DataPlane) Version() string { return "yardrock-data-plane " + Version }

// Description returns what the program does; go-arg prints it.
//
//	fmt.Println(DataPlane{}.Description())
func (DataPlane) Description() string {
	return "A front node takes callers' work; a store node keeps lines of record."
}

// ControlPlane are the settings of yardrock-control-plane.
type ControlPlane struct {
	Common
	AdminAddress      string `arg:"--administration" json:"administration" help:"IP and port for operators"`
	FoundingStores    int    `arg:"--founding-stores" json:"founding_stores" help:"stores that must be there to found the store list [default: 3]"`
	Groups            uint32 `arg:"--groups" json:"groups" help:"groups of lines, fixed when the fleet is founded [default: 32]"`
	ReplicationFactor uint32 `arg:"--copies" json:"copies" help:"replicas of each group of lines, fixed when the fleet is founded [default: 3]"`
	MaxControls       int    `arg:"--most-controls" json:"most_controls" help:"voters of the control group at most [default: 5]"`
	RootTokenHash     string `arg:"--root-token-hash" json:"root_token_hash" help:"SHA-256 (hex) of the token that administers until a config names operators"`
}

// Version returns the program's name and version; go-arg prints it.
//
//	fmt.Println(ControlPlane{}.Version())
func (ControlPlane) Version() string { return "yardrock-control-plane " + Version }

// Description returns what the program does; go-arg prints it.
//
//	fmt.Println(ControlPlane{}.Description())
func (ControlPlane) Description() string {
	return "A control node orders config, domains, runners and store list, and answers operators."
}
