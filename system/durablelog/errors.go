package durablelog

import (
	"fmt"

	"yardrock.example/system/apierror"
)

// damagedError returns the error of a data folder that lacks something that was durable. Other
// replicas have it, so the node can join anew with an empty folder.
func damagedError(format string, values ...any) error {
	return apierror.New(apierror.Damaged, fmt.Sprintf(format, values...), "empty the data folder so that the node joins as a new one and is healed from its peers")
}

// diskError returns the error of a write that failed. The caller tries again.
func diskError(err error) error {
	return apierror.Wrap(err, apierror.DiskUnavailable, "the data folder took no write: "+err.Error(), "free space on the disk or replace it; the node goes on by itself")
}
