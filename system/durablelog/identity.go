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

// Identity is the random name of a disk, made when it was empty. A wiped disk
// gets a new one and so is a new node.
type Identity struct {
	Name   string `json:"name"`
	Format int    `json:"format"`
	Role   string `json:"role"`
}

func (log *Log) loadIdentity(names []string, role string) error {
	data, err := log.directory.ReadFile(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		if err := log.checkNoState(names); err != nil {
			return err
		}
		if err := log.createLog(0); err != nil {
			return err
		}
		log.identity = Identity{Name: role + "-" + uuid.NewString(), Format: formatVersion, Role: role}
		data, err := json.Marshal(log.identity)
		if err != nil {
			return err
		}
		return log.writeSynced(identityFile, data)
	}
	if err != nil {
		return err
	}
	if json.Unmarshal(data, &log.identity) != nil {
		others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == identityFile })
		if log.checkNoState(others) != nil || slices.ContainsFunc(others, func(name string) bool { return name != logName(0) }) {
			return apierror.New(apierror.Damaged, "the identity file cannot be read", "empty the data folder so that the node joins as a new one")
		}
		// Power was lost while an empty disk got its first file: still empty.
		if err := log.directory.Remove(identityFile); err != nil {
			return err
		}
		return log.loadIdentity(nil, role)
	}
	if log.identity.Format > formatVersion {
		return apierror.New(apierror.FormatTooNew, fmt.Sprintf("the data folder has format %d, this program knows up to %d", log.identity.Format, formatVersion), "run the newer version of the program that wrote it")
	}
	if log.identity.Role != role {
		return apierror.New(apierror.BadSettings, fmt.Sprintf("the data folder belongs to a %s node", log.identity.Role), "give each process a data folder of its own")
	}
	return nil
}

// checkNoState refuses a folder without identity that has state. Only the first log may
// be there, still empty: it is made before the identity.
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
