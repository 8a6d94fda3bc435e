package durablelog

import (
	"fmt"

	"yardrock.example/system/apierror"
)

const emptyDirectoryRemedy = "empty the data folder so that the node joins as a new one and is healed from its peers"

func damagedError(format string, values ...any) error {
	return apierror.New(apierror.Damaged, fmt.Sprintf(format, values...), emptyDirectoryRemedy)
}

func diskError(err error) error {
	return apierror.New(apierror.DiskUnavailable, "the data folder took no write: "+err.Error(), "free space on the disk or replace it; the node goes on by itself")
}
