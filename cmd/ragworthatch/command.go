package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"
)

// streams are the output streams of a command.
type streams struct {
	out *os.File
	err *os.File
}

// print writes a value as text or as one JSON object.
func (s *streams) print(asJSON bool, value any, text string) error {
	if !asJSON {
		_, err := io.WriteString(s.out, text)
		return err
	}
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// command implements the library's command interface with a function.
type command struct {
	name     string
	group    string
	synopsis string
	usage    string // the arguments, then a description
	streams  *streams
	flags    func(*flag.FlagSet)
	run      func(ctx context.Context, args []string) error
}

var _ subcommands.Command = (*command)(nil)

// Name returns the name of the command on the command line.
func (c *command) Name() string { return c.name }

// Synopsis returns the description in the list of commands.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the text above the flags in the help of the command.
func (c *command) Usage() string { return c.usage }

// SetFlags defines the flags of the command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(&prefixWriter{prefix: programName + " " + c.name + ": ", w: c.streams.err})
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command and prints an error in one line. It returns the exit code.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := parseArguments(f)
	if err != nil {
		return exitUsage
	}
	err = c.run(ctx, args)
	if err != nil {
		line := strings.ReplaceAll(strings.TrimSpace(err.Error()), "\n", "; ")
		fmt.Fprintf(c.streams.err, "%s %s: %s\n", programName, c.name, line)
	}
	return subcommands.ExitStatus(exitCode(err))
}

// parseArguments returns the arguments and parses the flags between and after them, where the library stops parsing.
func parseArguments(f *flag.FlagSet) ([]string, error) {
	var out []string
	for f.NArg() > 0 {
		out = append(out, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// prefixWriter prefixes each message of the library with the command's name.
type prefixWriter struct {
	prefix string
	w      io.Writer
}

// Write writes one message with the prefix.
func (pw *prefixWriter) Write(p []byte) (int, error) {
	if _, err := io.WriteString(pw.w, pw.prefix); err != nil {
		return 0, err
	}
	return pw.w.Write(p)
}

// commands returns all commands in the order of the help.
func commands(s *streams) []*command {
	all := []*command{
		entryCommand(s),
		sideCommand(s),
		edgeCommand(s),
		checkCommand(s),
		publishCommand(s),
		presetCommand(s),
		statusCommand(s),
		handoverCommand(s),
		drainCommand(s),
		outcomeCommand(s),
		settleCommand(s),
		quarantineCommand(s),
		explainRequestCommand(s),
		whereCommand(s),
		demoCommand(s),
		loadCommand(s),
		versionCommand(s),
	}
	for _, c := range all {
		c.streams = s
	}
	return all
}
