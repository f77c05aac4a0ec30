package main

import "time"

const (
	programName     = "ragworthatch"
	libraryShutdown = 365 * 24 * time.Hour
	callTimeout     = 15 * time.Second
	demoPause       = 2 * time.Second
	noBase          = -2 // below every revision and config.Absent
)

// Exit codes, the same for all commands.
const (
	exitDone    = 0
	exitFailed  = 1 // failed, or was refused
	exitUsage   = 2 // the command line is wrong
	exitFile    = 3 // a settings or declaration file is wrong
	exitUnknown = 4 // may have taken effect; the message says how to find out
)

// Environment variables that stand in for flags.
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
