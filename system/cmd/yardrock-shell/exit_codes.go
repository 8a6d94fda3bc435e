package main

import "yardrock.example/system/apierror"

// Exit codes for scripts.
const (
	exitRejected    = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitUnclear     = 4
)

var exitCodes = map[string]int{string(apierror.OutcomeUnknown): exitUnclear, string(apierror.Unavailable): exitUnreachable, string(apierror.NoQuorum): exitUnreachable}
