package settings

import (
	"fmt"
	"net"
	"slices"
	"strconv"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

// daemonSettings is implemented by pointers to the settings of each daemon.
type daemonSettings interface {
	Version() string
	common() *Common
	validate() error
}

// common implements daemonSettings for the types that embed Common.
func (common *Common) common() *Common { return common }

// invalid returns the error for a setting with an invalid value.
func invalid(field, message, remedy string) error {
	return apierror.New(apierror.BadSettings, field+": "+message, remedy)
}

// unreadable returns the error for settings that could not be read or parsed, and wraps the cause.
func unreadable(cause error, field, message, remedy string) error {
	return apierror.Wrap(cause, apierror.BadSettings, field+": "+message, remedy)
}

// validateAddress requires an IP and a port other than 0.
func validateAddress(field, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return invalid(field, strconv.Quote(address)+" is not an IP and port", "use the form 10.0.0.1:7000")
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return invalid(field, strconv.Quote(port)+" is not a valid port", "use a port from 1 to 65535")
	}
	return nil
}

// validateCommon validates the settings of all daemons.
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
		return invalid("domain", "is missing", "name the failure domain (zone) of this machine")
	}
	if len(common.Seeds) != 3 {
		return invalid("seeds", fmt.Sprintf("has %d addresses", len(common.Seeds)), "give the addresses of three other processes")
	}
	for _, seed := range common.Seeds {
		if err := validateAddress("seeds", seed); err != nil {
			return err
		}
	}
	if sorted := slices.Sorted(slices.Values(common.Seeds)); len(slices.Compact(sorted)) != 3 {
		return invalid("seeds", "contains a duplicate address", "give three different addresses")
	}
	if common.Metrics != "" {
		if err := validateAddress("metrics", common.Metrics); err != nil {
			return err
		}
	}
	if common.Memory < 0 {
		return invalid("memory", strconv.FormatInt(common.Memory, 10)+" is below 0", "give the bytes of memory that this process may use, or 0 for no limit")
	}
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, common.Log) {
		return invalid("log", strconv.Quote(common.Log)+" is not a log level", "use debug, info, warn or error")
	}
	return nil
}

// validate validates all settings. The role determines which are required.
func (settings *DataPlane) validate() error {
	if err := settings.validateCommon(); err != nil {
		return err
	}
	switch settings.Role {
	case feed.RoleFront:
		return validateAddress("public", settings.PublicAddress)
	case feed.RoleStore:
		if settings.DataDirectory == "" {
			return invalid("folder", "is missing", "name the data directory of this store")
		}
		if settings.HealthAddress != "" {
			return validateAddress("health", settings.HealthAddress)
		}
		return nil
	}
	return invalid("role", strconv.Quote(settings.Role)+" is not a role", "use front or store")
}

// validate validates all settings.
func (settings *ControlPlane) validate() error {
	if err := settings.validateCommon(); err != nil {
		return err
	}
	if settings.DataDirectory == "" {
		return invalid("folder", "is missing", "name the data directory of this control node")
	}
	if settings.FoundingStores < 1 {
		return invalid("founding_stores", "is below 1", "use 3, or the initial number of stores")
	}
	if settings.ReplicationFactor%2 == 0 || settings.ReplicationFactor > 9 {
		return invalid("copies", strconv.Itoa(int(settings.ReplicationFactor)), "use an odd number from 1 to 9")
	}
	if settings.Groups < 1 || settings.Groups > 4096 {
		return invalid("groups", "is out of range", "use 1 to 4096")
	}
	if settings.MaxControls < 1 || settings.MaxControls > 9 {
		return invalid("most_controls", "is out of range", "use 1 to 9, preferably 3 or 5")
	}
	return validateAddress("administration", settings.AdminAddress)
}
