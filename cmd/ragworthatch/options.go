package main

import (
	"flag"
	"net/netip"
	"os"
	"strings"
)

// operatorOptions are the options of all commands that ask an entry.
type operatorOptions struct {
	entry     string
	token     string
	tokenFile string
	json      bool
}

func (o *operatorOptions) define(f *flag.FlagSet) {
	f.StringVar(&o.entry, "entry", os.Getenv(envEntry), "`address` of an entry, as IP:port; "+envEntry+" stands in")
	f.StringVar(&o.token, "token", "", "an operator's `token`; "+envToken+" stands in")
	f.StringVar(&o.tokenFile, "tokenFile", "", "`file` that holds the token")
	f.BoolVar(&o.json, "json", false, "print one JSON object")
}

func (o *operatorOptions) check() error {
	if err := checkAddress("entry", o.entry); err != nil {
		return err
	}
	if o.token == "" && o.tokenFile != "" {
		data, err := os.ReadFile(o.tokenFile)
		if err != nil {
			return fileError(err)
		}
		o.token = strings.TrimSpace(string(data))
	}
	if o.token == "" {
		o.token = os.Getenv(envToken)
	}
	if o.token == "" {
		return usagef("a token is needed: --token, --tokenFile or %s", envToken)
	}
	return nil
}

// authorOptions are the options of commands that change something.
type authorOptions struct {
	author string
	reason string
}

func (o *authorOptions) define(f *flag.FlagSet, withReason bool) {
	author := os.Getenv(envAuthor)
	if author == "" {
		author = os.Getenv("USER")
	}
	f.StringVar(&o.author, "author", author, "`name` that is recorded; "+envAuthor+" and USER stand in")
	if withReason {
		f.StringVar(&o.reason, "reason", "", "`sentence` that is recorded")
	}
}

func (o *authorOptions) check(needReason bool) error {
	if o.author == "" {
		return usagef("an author is needed: --author or %s", envAuthor)
	}
	if needReason && o.reason == "" {
		return usagef("a reason is needed: --reason")
	}
	return nil
}

// serveOptions are the options of the serving roles.
type serveOptions struct {
	settings string
}

func (o *serveOptions) define(f *flag.FlagSet) {
	f.StringVar(&o.settings, "settings", "", "YAML `file` with the settings; see docs/SETTINGS.md")
}

func (o *serveOptions) check() error {
	if o.settings == "" {
		return usagef("a settings file is needed: --settings")
	}
	return nil
}

// jsonOption is the option of commands that only print.
type jsonOption struct {
	json bool
}

func (o *jsonOption) define(f *flag.FlagSet) {
	f.BoolVar(&o.json, "json", false, "print one JSON object")
}

func checkAddress(flagName, value string) error {
	if value == "" {
		return usagef("an address is needed: --%s", flagName)
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return usagef("--%s must be an address as IP:port with a port from 1 to 65535, not %q", flagName, value)
	}
	return nil
}

// noArguments refuses stray arguments.
func noArguments(args []string) error {
	if len(args) > 0 {
		return usagef("takes no arguments, got %q", args[0])
	}
	return nil
}

// oneArgument returns the only argument.
func oneArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usagef("takes one argument, %s, and got %d", what, len(args))
	}
	return args[0], nil
}
