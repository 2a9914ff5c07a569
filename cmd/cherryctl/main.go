// Command cherryctl is the operators' tool: it changes the inventory and the
// rules, and reads the outcomes.
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

// Exit codes that scripts can rely on.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	// exitStale: the change was made from an old revision; nothing was changed.
	exitStale = 3
	// exitUnknown: the change may or may not have been accepted.
	exitUnknown = 4
	// exitUnavailable: nothing was changed, since the platform is away.
	exitUnavailable = 5
	// exitTimeout: what was waited for did not come in time.
	exitTimeout = 6
)

// globals are the flags of every subcommand.
type globals struct {
	Address string `long:"address" env:"CHERRYCTL_ADDRESS" default:"http://127.0.0.1:8081" description:"URL of an entry host's administration API"`
	Key     string `long:"key" env:"CHERRYCTL_KEY" description:"the operator's key"`
	Output  string `short:"o" long:"output" default:"table" choice:"table" choice:"json" description:"form of the output"`
}

var global globals

func client() *adminclient.Client { return adminclient.New(global.Address, global.Key, nil) }

func main() {
	parser := flags.NewNamedParser("cherryctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Changes the inventory and the rules of a Cherrystage deployment, and reads the outcomes.\n\n" +
		"Exit codes: 0 done; 1 failed; 2 wrong usage; 3 made from an old revision, nothing changed; " +
		"4 outcome unknown; 5 platform away, nothing changed; 6 not in time."
	mustAdd(parser)
	_, err := parser.Parse()
	os.Exit(report(err))
}

// mustAdd adds the flags and subcommands; a mistake here is one of the build.
func mustAdd(parser *flags.Parser) {
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

// report says what went wrong and gives the exit code.
func report(err error) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, "cherryctl:", usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "cherryctl:", err)
	return codeOf(err)
}

func codeOf(err error) int {
	if errors.Is(err, errTimeout) {
		return exitTimeout
	}
	var failed *adminclient.APIError
	if !errors.As(err, &failed) {
		return exitFailure
	}
	switch {
	case failed.Code == adminapi.CodeStale:
		return exitStale
	case failed.Code == adminapi.CodeUnavailable && failed.Verdict() == verdict.NotRun:
		return exitUnavailable
	case failed.Verdict() == verdict.MayHaveRun:
		return exitUnknown
	default:
		return exitFailure
	}
}
