// Package cli builds the command line of the programs: subcommands, flags
// with environment variables, version and shell completion.
//
// Usage:
//
//	os.Exit(cli.Run("weirctl", "Operator's client.", commands))
package cli

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// Version is set by the linker.
var Version = "dev"

// Command is one subcommand; Data holds its flags and its Execute method.
type Command struct {
	Name  string
	Short string
	Data  any
	Sub   []Command
}

// The exit statuses of the programs.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

type global struct {
	Version bool `long:"version" description:"Print the version and exit"`
}

// completion prints a script for the shell.
type completion struct {
	program string
}

// Execute implements flags.Commander.
func (cm *completion) Execute([]string) error {
	fmt.Printf("_%[1]s() {\n  local IFS=$'\\n'\n  COMPREPLY=($(GO_FLAGS_COMPLETION=1 \"${COMP_WORDS[0]}\" \"${COMP_WORDS[@]:1:$COMP_CWORD}\"))\n}\ncomplete -F _%[1]s %[1]s\n", cm.program)
	return nil
}

// Run parses the command line, executes the subcommand and returns the exit
// status.
func Run(program, about string, commands []Command) int {
	opts := &global{}
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = about
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Options", "", opts); err != nil {
		return fail(err)
	}
	commands = append(commands, Command{
		Name: "completion", Short: "Print a completion script for bash", Data: &completion{program: program},
	})
	if err := add(parser.Command, commands); err != nil {
		return fail(err)
	}
	_, err := parser.Parse()
	if err == nil && opts.Version {
		fmt.Println(program, Version, goVersion())
		return exitOK
	}
	if err == nil && parser.Active == nil {
		parser.WriteHelp(os.Stderr)
		return exitUsage
	}
	return exitOf(err)
}

func add(parent *flags.Command, commands []Command) error {
	for _, cm := range commands {
		data := cm.Data
		if data == nil {
			data = &struct{}{}
		}
		sub, err := parent.AddCommand(cm.Name, cm.Short, cm.Short+".", data)
		if err != nil {
			return err
		}
		if err := add(sub, cm.Sub); err != nil {
			return err
		}
	}
	return nil
}

func exitOf(err error) int {
	if err == nil {
		return exitOK
	}
	usage, ok := err.(*flags.Error) //nolint:errorlint // the library returns it bare
	if !ok {
		return fail(err)
	}
	if usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, usage.Message)
	return exitUsage
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "error:", err)
	return exitError
}

func goVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.GoVersion
	}
	return ""
}
