// Package cli parses the command lines of the programs: subcommands, flags with
// environment variables, version and shell completion.
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

// Version is the version of the program. The linker sets it (-X).
var Version = "dev"

// Command is one subcommand.
type Command struct {
	Name  string
	Short string
	// Data is a struct with the flags and an Execute method, nil for a group.
	Data any
	Sub  []Command
}

// Exit statuses.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

type globalOptions struct {
	Version bool `long:"version" description:"Print the version and exit"`
}

// completion prints a completion script for bash.
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
func Run(program, description string, commands []Command) int {
	opts := &globalOptions{}
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Options", "", opts); err != nil {
		return printError(err)
	}
	commands = append(commands, Command{
		Name: "completion", Short: "Print a completion script for bash", Data: &completion{program: program},
	})
	if err := addCommands(parser.Command, commands); err != nil {
		return printError(err)
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
	return exitStatus(err)
}

func addCommands(parent *flags.Command, commands []Command) error {
	for _, cm := range commands {
		data := cm.Data
		if data == nil {
			data = &struct{}{}
		}
		sub, err := parent.AddCommand(cm.Name, cm.Short, cm.Short+".", data)
		if err != nil {
			return err
		}
		if err := addCommands(sub, cm.Sub); err != nil {
			return err
		}
	}
	return nil
}

// exitStatus prints the error, if any, and returns the exit status.
func exitStatus(err error) int {
	if err == nil {
		return exitOK
	}
	usage, ok := err.(*flags.Error) //nolint:errorlint // the library returns it unwrapped
	if !ok {
		return printError(err)
	}
	if usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, usage.Message)
	return exitUsage
}

// printError prints the error to stderr and returns the exit status.
func printError(err error) int {
	fmt.Fprintln(os.Stderr, "error:", err)
	return exitError
}

func goVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.GoVersion
	}
	return ""
}
