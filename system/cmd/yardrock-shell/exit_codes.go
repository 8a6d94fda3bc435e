package main

import "yardrock.example/system/apierror"

// The exit codes, for scripts. 0 means that the query was answered or the command acknowledged.
const (
	exitRejected       = 1 // the query or command is invalid or not permitted
	exitUsage          = 2 // the flags are invalid
	exitUnreachable    = 3 // no control node is reachable, or there is no quorum
	exitOutcomeUnknown = 4 // it is unknown whether the command took effect everywhere
)

// exitCodes maps error kinds to exit codes; all other kinds are exitRejected.
var exitCodes = map[string]int{string(apierror.OutcomeUnknown): exitOutcomeUnknown, string(apierror.Unavailable): exitUnreachable, string(apierror.NoQuorum): exitUnreachable}
