package durablelog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/google/uuid"

	"yardrock.example/system/apierror"
)

const (
	identityFile = "identity"
	// formatVersion is the format of new directories. Since format 2 a snapshot is written
	// record by record, and each log is created before the file that it belongs to: the first
	// log before the identity, any other before its snapshot. A missing log therefore always
	// means data loss.
	formatVersion = 2
	// logCreatedFirstFormat is the first format that creates logs in this order.
	logCreatedFirstFormat = 2
)

// Identity is the content of the identity file.
type Identity struct {
	// Name is a random name created with the directory. A node whose disk is replaced gets a new
	// name and counts as a new node, which is not bound by the votes and acknowledgements of the
	// old one.
	Name string `json:"name"`
	// Format is the format that the directory was created with.
	Format int `json:"format"`
	// Role is the kind of process that owns the directory, such as "store".
	Role string `json:"role"`
}

// loadIdentity reads the identity, or creates it in an empty directory.
func (log *Log) loadIdentity(names []string, role string) error {
	data, err := log.directory.ReadFile(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		return log.createIdentity(names, role)
	}
	if err != nil {
		return fmt.Errorf("read the identity of the data directory: %w", err)
	}
	if json.Unmarshal(data, &log.identity) != nil {
		return log.replaceTornIdentity(names, role)
	}
	if log.identity.Format > formatVersion {
		return apierror.New(apierror.FormatTooNew, fmt.Sprintf("the data directory has format %d, but this program supports formats up to %d", log.identity.Format, formatVersion), "run the newer version of the program that created it")
	}
	if log.identity.Role != role {
		return apierror.New(apierror.BadSettings, fmt.Sprintf("the data directory belongs to a %s node", log.identity.Role), "give each process its own data directory")
	}
	return nil
}

// createIdentity creates the first log and then the identity in a directory without state.
func (log *Log) createIdentity(names []string, role string) error {
	if err := log.checkNoState(names); err != nil {
		return err
	}
	if err := log.createLog(0); err != nil {
		return fmt.Errorf("create the first log in the data directory: %w", err)
	}
	log.identity = Identity{Name: role + "-" + uuid.NewString(), Format: formatVersion, Role: role}
	data, err := json.Marshal(log.identity)
	if err != nil {
		return fmt.Errorf("encode the identity of the data directory: %w", err)
	}
	if err := log.writeSynced(identityFile, data); err != nil {
		return fmt.Errorf("write the identity of the data directory: %w", err)
	}
	return nil
}

// replaceTornIdentity creates a new identity if power was lost while the first one was written.
// An unreadable identity next to anything but an empty first log is damage.
func (log *Log) replaceTornIdentity(names []string, role string) error {
	others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == identityFile })
	if log.checkNoState(others) != nil || slices.ContainsFunc(others, func(name string) bool { return name != logName(0) }) {
		return apierror.New(apierror.Damaged, "the identity file is unreadable", "empty the data directory; the node then joins as a new one")
	}
	if err := log.directory.Remove(identityFile); err != nil {
		return fmt.Errorf("remove the torn identity of the data directory: %w", err)
	}
	return log.createIdentity(nil, role)
}

// checkNoState rejects a directory that contains state but no identity. Only an empty first log
// may exist, since it is created before the identity.
func (log *Log) checkNoState(names []string) error {
	for _, name := range names {
		if name == logName(0) {
			if data, err := log.directory.ReadFile(name); err == nil && len(data) == 0 {
				continue
			}
		}
		if strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return apierror.New(apierror.Damaged, "the data directory contains state but no identity file", "restore this machine's data directory, or empty it; the node then joins as a new one")
		}
	}
	return nil
}
