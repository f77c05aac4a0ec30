package main

import "time"

const (
	programName          = "ragworthatch"
	edgeName             = "edge"               // the command
	libraryShutdownDelay = 365 * 24 * time.Hour // keeps go-zero from ending the process during a drain
	callTimeout          = 15 * time.Second     // of all calls of one command together
	demoPause            = 2 * time.Second      // between two events of the demo
	baseUnset            = -2                   // --base if the flag is absent; below every revision and config.Absent
)

// Exit codes, the same for all commands.
const (
	exitOK      = 0
	exitFailed  = 1 // failed or refused
	exitUsage   = 2 // invalid command line
	exitFile    = 3 // invalid settings or declaration file
	exitUnknown = 4 // may have taken effect; the message says how to find out
)

// Environment variables that replace missing flags.
const (
	envEntry  = "RAGWORTHATCH_ENTRY"
	envToken  = "RAGWORTHATCH_TOKEN"
	envAuthor = "RAGWORTHATCH_AUTHOR"
)

// Groups of commands in the help.
const (
	groupServe   = "serving"
	groupOperate = "operating"
	groupTool    = "trying out"
)
