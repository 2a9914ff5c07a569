// Command cherryctl is the command-line tool for operators. It changes the inventory and its
// rules and shows the state of a deployment.
package main

import (
	"fmt"
	"os"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/adminclient"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes, which scripts may rely on.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	// exitStale means that the change was based on an old revision and was not applied.
	exitStale = 3
	// exitUnknown means that the change may or may not have been accepted.
	exitUnknown = 4
	// exitUnavailable means that the change was not applied because the platform is unavailable.
	exitUnavailable = 5
	// exitTimeout means that the awaited state was not reached in time.
	exitTimeout = 6
)

// globalFlags are the flags common to all subcommands.
type globalFlags struct {
	Address string `long:"address" env:"CHERRYCTL_ADDRESS" default:"http://127.0.0.1:8081" description:"URL of an entry host's administration API"`
	Key     string `long:"key" env:"CHERRYCTL_KEY" description:"the operator's key"`
	Output  string `short:"o" long:"output" default:"table" choice:"table" choice:"json" description:"form of the output"`
}

var global globalFlags

func newClient() *adminclient.Client { return adminclient.New(global.Address, global.Key, nil) }

func main() {
	parser := flags.NewNamedParser("cherryctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Changes the inventory and the rules of a Cherrystage deployment, and reads the outcomes.\n\n" +
		"Exit codes: 0 done; 1 failed; 2 wrong usage; 3 made from an old revision, nothing changed; " +
		"4 outcome unknown; 5 platform away, nothing changed; 6 not in time."
	addCommands(parser)
	_, err := parser.Parse()
	os.Exit(reportError(err))
}

// addCommands adds the flags and subcommands. It panics on errors, which can only be mistakes in
// this code.
func addCommands(parser *flags.Parser) {
	_, err := parser.AddGroup("Every command", "", &global)
	for _, command := range []struct {
		name, short string
		data        any
	}{
		{"apply", "make the inventory what a file says", &applyCommand{}},
		{"get", "show the inventory, or one kind or item of it", &getCommand{}},
		{"put", "add or change one adapter, caller, service or rule", &putCommand{}},
		{"delete", "delete one adapter, caller, service or rule", &deleteCommand{}},
		{"wait", "wait until a revision is in force on every live host", &waitCommand{}},
		{"status", "show hosts, runners, loads and requests", &statusCommand{}},
		{"explain", "show why a request went where it went", &explainCommand{}},
		{"analyze", "sum up from hosts' logs why requests were not served on time", &analyzeCommand{}},
		{"trace", "show what hosts logged of one request, and which logs say more", &traceCommand{}},
		{"quotas", "show from hosts' metrics what workspaces used of their quotas", &quotasCommand{}},
		{"contention", "show from hosts' metrics which requests wait for what, and which adapters and runners are short", &contentionCommand{}},
		{"audit", "show who changed what, and when", &auditCommand{}},
		{"drain", "make an entry host give its work away", &drainCommand{}},
		{"digest", "read a key on standard input and show its digest", &digestCommand{}},
		{"completion", "print the shell completion", &completionCommand{}},
	} {
		if err == nil {
			_, err = parser.AddCommand(command.name, command.short, command.short, command.data)
		}
	}
	if err != nil {
		panic(err)
	}
}

// reportError prints an error, or the help text, and returns the exit code.
func reportError(err error) int {
	if err == nil {
		return exitOK
	}
	var usageError *flags.Error
	if errors.As(err, &usageError) {
		if usageError.Type == flags.ErrHelp {
			fmt.Println(usageError.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, "cherryctl:", usageError.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "cherryctl:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	if errors.Is(err, errTimeout) {
		return exitTimeout
	}
	var unanswered *adminclient.UnansweredError
	if errors.As(err, &unanswered) {
		return exitUnknown
	}
	var apiError *adminclient.APIError
	if !errors.As(err, &apiError) {
		return exitFailure
	}
	switch {
	case apiError.Code == adminapi.CodeStale:
		return exitStale
	case apiError.Code == adminapi.CodeUnavailable && apiError.Verdict() == verdict.NotRun:
		return exitUnavailable
	case apiError.Verdict() == verdict.MayHaveRun:
		return exitUnknown
	default:
		return exitFailure
	}
}
