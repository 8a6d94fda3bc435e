package main

import "yardrock.example/system/apierror"

// The exit codes, for scripts. 0: the query was answered or the command is acknowledged.
const (
	exitRejected    = 1 // the query or command is wrong or not allowed
	exitUsage       = 2 // the flags are wrong
	exitUnreachable = 3 // no control node can be reached, or there is no quorum
	exitUnclear     = 4 // it is not known whether the command took effect everywhere
)

// exitCodes are the codes of error kinds; all others are exitRejected.
var exitCodes = map[string]int{string(apierror.OutcomeUnknown): exitUnclear, string(apierror.Unavailable): exitUnreachable, string(apierror.NoQuorum): exitUnreachable}
