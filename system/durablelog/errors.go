package durablelog

import (
	"fmt"

	"yardrock.example/system/apierror"
)

// damagedError returns the error for a data directory that lacks durable data. Since the other
// replicas have that data, the node can rejoin with an empty directory.
func damagedError(format string, args ...any) error {
	return apierror.New(apierror.Damaged, fmt.Sprintf(format, args...), "empty the data directory; the node then joins as a new one and recovers its state from its peers")
}

// diskError returns the error for a failed write. The caller retries it.
func diskError(err error) error {
	return apierror.Wrap(err, apierror.DiskUnavailable, "write to the data directory failed: "+err.Error(), "free space on the disk or replace it; the node retries the write until it succeeds")
}
