// Package settings reads a daemon's settings from a file and from flags, checks
// them, and names the field and the remedy of what is wrong.
package settings

import (
	"net"
	"path/filepath"
	"time"

	"yardrock.example/system/link"
	"yardrock.example/system/vfs"
)

// Version is what --version tells.
const Version = "0.1.0"

// Common is what every daemon is told.
type Common struct {
	File       string   `arg:"--settings" json:"-" help:"settings file (JSON); flags win over it"`
	Address    string   `arg:"--address" json:"address" help:"IP and port for other processes"`
	Listen     string   `arg:"--listen" json:"listen" help:"IP and port to listen on, if others reach it under the address [default: the address]"`
	Domain     string   `arg:"--domain" json:"domain" help:"domain (zone) of this machine"`
	Seeds      []string `arg:"--seeds" json:"seeds" help:"three addresses of other processes"`
	DataFolder string   `arg:"--folder" json:"folder" help:"data folder"`
	Log        string   `arg:"--log" json:"log" help:"log level: debug, info, warn or error"`
	Memory     int64    `arg:"--memory" json:"memory" help:"bytes of memory that this process may use; 0 sets no limit [default: 0]"`
	// FaultyDisk is for trials of failure only.
	FaultyDisk string `arg:"--trial-disk" json:"trial_disk" help:"for trials only: keep unsynced writes in memory, and obey the disk faults that this file names"`
}

// peerTimeout is within what a caller can still wait for after a connection was cut.
const peerTimeout = 2500 * time.Millisecond

// Network is how the process reaches others and is reached: it dials from its own
// address's IP.
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

// OpenFolder opens the data folder, or one below it.
//
//	folder, err := loaded.OpenFolder("cold")
func (common *Common) OpenFolder(subfolder string) (vfs.Directory, error) {
	folder, err := vfs.Open(filepath.Join(common.DataFolder, subfolder))
	if err != nil || common.FaultyDisk == "" {
		return folder, err
	}
	return vfs.NewFaultDirectory(folder, common.FaultyDisk), nil
}

// DataPlane is what yardrock-data-plane is told.
type DataPlane struct {
	Common
	Role          string `arg:"--role" json:"role" help:"front or store"`
	PublicAddress string `arg:"--public" json:"public" help:"IP and port for callers (front)"`
	HealthAddress string `arg:"--health" json:"health" help:"IP and port for health queries (store)"`
}

// Version tells the program's version; go-arg calls it.
//
//	fmt.Println(DataPlane{}.Version())
func (DataPlane) Version() string { return "yardrock-data-plane " + Version }

// Description tells what the program does; go-arg calls it.
//
//	fmt.Println(DataPlane{}.Description())
func (DataPlane) Description() string {
	return "A front node takes callers' work; a store node keeps lines of record."
}

// ControlPlane is what yardrock-control-plane is told.
type ControlPlane struct {
	Common
	AdminAddress      string `arg:"--administration" json:"administration" help:"IP and port for operators"`
	FoundingStores    int    `arg:"--founding-stores" json:"founding_stores" help:"stores that must be there to found the store list [default: 3]"`
	Groups            uint32 `arg:"--groups" json:"groups" help:"groups of lines, fixed when the fleet is founded [default: 32]"`
	ReplicationFactor uint32 `arg:"--copies" json:"copies" help:"replicas of each group of lines, fixed when the fleet is founded [default: 3]"`
	MaxControls       int    `arg:"--most-controls" json:"most_controls" help:"voters of the control group at most [default: 5]"`
	RootTokenHash     string `arg:"--root-token-hash" json:"root_token_hash" help:"SHA-256 (hex) of the token that administers until a config names operators"`
}

// Version tells the program's version; go-arg calls it.
//
//	fmt.Println(ControlPlane{}.Version())
func (ControlPlane) Version() string { return "yardrock-control-plane " + Version }

// Description tells what the program does; go-arg calls it.
//
//	fmt.Println(ControlPlane{}.Description())
func (ControlPlane) Description() string {
	return "A control node orders config, domains, runners and store list, and answers operators."
}
