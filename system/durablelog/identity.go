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
	// formatVersion is the format of new folders. Since format 2 a snapshot is written record
	// by record, and each log is created before what refers to it: the first before the
	// identity, any other before its snapshot. A missing log is always a loss then.
	formatVersion = 2
	// logFirstFormat is the first format with that order.
	logFirstFormat = 2
)

// Identity is the content of the identity file.
type Identity struct {
	// Name is random and made with the folder. A node whose disk is replaced gets another name
	// and so is another node, which does not answer for what the former one promised.
	Name string `json:"name"`
	// Format is that of the version which made the folder.
	Format int `json:"format"`
	// Role is the kind of process that the folder belongs to, such as "store".
	Role string `json:"role"`
}

// loadIdentity reads the identity, or makes that of an empty folder.
func (log *Log) loadIdentity(names []string, role string) error {
	data, err := log.directory.ReadFile(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		return log.createIdentity(names, role)
	}
	if err != nil {
		return fmt.Errorf("read the identity of the data folder: %w", err)
	}
	if json.Unmarshal(data, &log.identity) != nil {
		return log.replaceTornIdentity(names, role)
	}
	if log.identity.Format > formatVersion {
		return apierror.New(apierror.FormatTooNew, fmt.Sprintf("the data folder has format %d, this program knows up to %d", log.identity.Format, formatVersion), "run the newer version of the program that wrote it")
	}
	if log.identity.Role != role {
		return apierror.New(apierror.BadSettings, fmt.Sprintf("the data folder belongs to a %s node", log.identity.Role), "give each process a data folder of its own")
	}
	return nil
}

// createIdentity makes the first log and then the identity of a folder without state.
func (log *Log) createIdentity(names []string, role string) error {
	if err := log.checkNoState(names); err != nil {
		return err
	}
	if err := log.createLog(0); err != nil {
		return fmt.Errorf("create the first log of the data folder: %w", err)
	}
	log.identity = Identity{Name: role + "-" + uuid.NewString(), Format: formatVersion, Role: role}
	data, err := json.Marshal(log.identity)
	if err != nil {
		return fmt.Errorf("encode the identity of the data folder: %w", err)
	}
	if err := log.writeSynced(identityFile, data); err != nil {
		return fmt.Errorf("write the identity of the data folder: %w", err)
	}
	return nil
}

// replaceTornIdentity makes a new identity if power was lost while an empty folder got its
// first one. Beside anything but an empty first log, an unreadable identity is damage.
func (log *Log) replaceTornIdentity(names []string, role string) error {
	others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == identityFile })
	if log.checkNoState(others) != nil || slices.ContainsFunc(others, func(name string) bool { return name != logName(0) }) {
		return apierror.New(apierror.Damaged, "the identity file cannot be read", "empty the data folder so that the node joins as a new one")
	}
	if err := log.directory.Remove(identityFile); err != nil {
		return fmt.Errorf("remove the torn identity of the data folder: %w", err)
	}
	return log.createIdentity(nil, role)
}

// checkNoState rejects a folder without an identity that has state. Only the first log may be
// there, still empty, since it is created before the identity.
func (log *Log) checkNoState(names []string) error {
	for _, name := range names {
		if name == logName(0) {
			if data, err := log.directory.ReadFile(name); err == nil && len(data) == 0 {
				continue
			}
		}
		if strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return apierror.New(apierror.Damaged, "the data folder has state but no identity file", "restore the folder from this machine, or empty it so that the node joins as a new one")
		}
	}
	return nil
}
