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

// streams are where a command writes.
type streams struct {
	out *os.File
	err *os.File
}

// print writes a value as text for people, or as one JSON object.
func (s *streams) print(asJSON bool, value any, text string) error {
	if !asJSON {
		_, err := io.WriteString(s.out, text)
		return err
	}
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// command adapts a function to the library's interface.
type command struct {
	name     string
	group    string
	synopsis string
	usage    string // the arguments, then a paragraph
	streams  *streams
	flags    func(*flag.FlagSet)
	run      func(ctx context.Context, args []string) error
}

var _ subcommands.Command = (*command)(nil)

// Name is the word on the command line.
func (c *command) Name() string { return c.name }

// Synopsis is the line in the list of commands.
func (c *command) Synopsis() string { return c.synopsis }

// Usage is the text above the flags.
func (c *command) Usage() string { return c.usage }

// SetFlags defines the flags.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(&linePrefix{prefix: programName + " " + c.name + ": ", to: c.streams.err})
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command and reports an error in one line.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := arguments(f)
	if err != nil {
		return exitUsage
	}
	err = c.run(ctx, args)
	if err != nil {
		line := strings.ReplaceAll(strings.TrimSpace(err.Error()), "\n", "; ")
		fmt.Fprintf(c.streams.err, "%s %s: %s\n", programName, c.name, line)
	}
	return subcommands.ExitStatus(codeOf(err))
}

// arguments lets flags stand behind arguments too.
func arguments(f *flag.FlagSet) ([]string, error) {
	var out []string
	for f.NArg() > 0 {
		out = append(out, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// linePrefix puts the command's name before the library's messages.
type linePrefix struct {
	prefix string
	to     io.Writer
}

// Write writes one message.
func (l *linePrefix) Write(p []byte) (int, error) {
	if _, err := io.WriteString(l.to, l.prefix); err != nil {
		return 0, err
	}
	return l.to.Write(p)
}

// commands are all commands in the order of the help.
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
		demoCommand(s),
		loadCommand(s),
		versionCommand(s),
	}
	for _, c := range all {
		c.streams = s
	}
	return all
}
