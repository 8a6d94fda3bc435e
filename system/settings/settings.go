// Package settings reads a daemon's settings from a file and from flags, checks
// them, and names the field and the remedy of what is wrong.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"yardrock.example/system/apierror"
	"yardrock.example/system/link"
	"yardrock.example/system/placement"
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

type loadable interface {
	common() *Common
	validate() error
}

func (common *Common) common() *Common { return common }

func invalid(field, message, remedy string) error {
	return apierror.New(apierror.BadSettings, field+": "+message, remedy)
}

func validateAddress(field, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return invalid(field, strconv.Quote(address)+" is no IP and port", "write it like 10.0.0.1:7000")
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return invalid(field, strconv.Quote(port)+" is no port", "use a port from 1 to 65535")
	}
	return nil
}

func (common *Common) validateCommon() error {
	if err := validateAddress("address", common.Address); err != nil {
		return err
	}
	if common.Listen != "" {
		if err := validateAddress("listen", common.Listen); err != nil {
			return err
		}
	}
	if common.Domain == "" {
		return invalid("domain", "is missing", "name the zone of this machine")
	}
	if len(common.Seeds) != 3 {
		return invalid("seeds", fmt.Sprintf("has %d addresses", len(common.Seeds)), "name three addresses of other processes")
	}
	for _, seed := range common.Seeds {
		if err := validateAddress("seeds", seed); err != nil {
			return err
		}
	}
	if sorted := slices.Sorted(slices.Values(common.Seeds)); len(slices.Compact(sorted)) != 3 {
		return invalid("seeds", "names an address twice", "name three different addresses")
	}
	if common.Memory < 0 {
		return invalid("memory", strconv.FormatInt(common.Memory, 10)+" is below 0", "use the bytes that this process may use, or 0 for no limit")
	}
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, common.Log) {
		return invalid("log", strconv.Quote(common.Log)+" is no level", "use debug, info, warn or error")
	}
	return nil
}

func (settings *DataPlane) validate() error {
	if err := settings.validateCommon(); err != nil {
		return err
	}
	switch settings.Role {
	case "front":
		return validateAddress("public", settings.PublicAddress)
	case "store":
		if settings.DataFolder == "" {
			return invalid("folder", "is missing", "name the data folder of this store")
		}
		if settings.HealthAddress != "" {
			return validateAddress("health", settings.HealthAddress)
		}
		return nil
	}
	return invalid("role", strconv.Quote(settings.Role)+" is no role", "use front or store")
}

func (settings *ControlPlane) validate() error {
	if err := settings.validateCommon(); err != nil {
		return err
	}
	if settings.DataFolder == "" {
		return invalid("folder", "is missing", "name the data folder of this control node")
	}
	if settings.FoundingStores < 1 {
		return invalid("founding_stores", "is below 1", "use 3, or the number of stores at the start")
	}
	if settings.ReplicationFactor%2 == 0 || settings.ReplicationFactor > 9 {
		return invalid("copies", strconv.Itoa(int(settings.ReplicationFactor)), "use an odd number from 1 to 9")
	}
	if settings.Groups < 1 || settings.Groups > 4096 {
		return invalid("groups", "is out of range", "use 1 to 4096")
	}
	if settings.MaxControls < 1 || settings.MaxControls > 9 {
		return invalid("most_controls", "is out of range", "use 1 to 9, best 3 or 5")
	}
	return validateAddress("administration", settings.AdminAddress)
}

// LoadDataPlane reads the settings of yardrock-data-plane.
//
//	loaded, err := settings.LoadDataPlane(os.Args[1:], os.Stdout)
func LoadDataPlane(arguments []string, output io.Writer) (*DataPlane, error) {
	loaded := &DataPlane{}
	return loaded, load(loaded, "yardrock-data-plane", arguments, output)
}

// LoadControlPlane reads the settings of yardrock-control-plane.
//
//	loaded, err := settings.LoadControlPlane(os.Args[1:], os.Stdout)
func LoadControlPlane(arguments []string, output io.Writer) (*ControlPlane, error) {
	loaded := &ControlPlane{FoundingStores: 3, Groups: 32, ReplicationFactor: placement.DefaultReplicas, MaxControls: 5}
	return loaded, load(loaded, "yardrock-control-plane", arguments, output)
}

// ErrHelpShown tells that help or version was asked for and shown.
var ErrHelpShown = errors.New("shown")

// load reads flags to find the file, then the file, then the flags again over it.
func load(target loadable, program string, arguments []string, output io.Writer) error {
	parser, err := arg.NewParser(arg.Config{Program: program, IgnoreDefault: true}, target)
	if err != nil {
		return err
	}
	switch err := parser.Parse(arguments); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(output)
		return ErrHelpShown
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(output, target.(interface{ Version() string }).Version())
		return ErrHelpShown
	case err != nil:
		return invalid("flags", err.Error(), "see --help")
	}
	if file := target.common().File; file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return invalid("settings", err.Error(), "name a file that can be read")
		}
		decoder := json.NewDecoder(strings.NewReader(string(data)))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(target); err != nil {
			return invalid("settings", file+": "+err.Error(), "correct the named key; --help lists the keys")
		}
		if err := parser.Parse(arguments); err != nil {
			return invalid("flags", err.Error(), "see --help")
		}
	}
	return target.validate()
}
