// Command jacinthproxy is a proxy fleet for backend servers with gray failures.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/parser"
)

// version is the version of the program, set in release builds.
var version = "devel"

// Exit codes, for use in scripts: exitFailure stands for any error other than those below, exitFindings for invalid
// input or an invalid command line, and exitStale for a change whose base version is outdated.
const (
	exitFailure  = 1
	exitFindings = 2
	exitStale    = 3
)

type commands struct {
	Gateway gatewayCommand `cmd:"" help:"Run a daemon on the platform with a metadata store."`
	Serve   serveCommand   `cmd:"" help:"Run a daemon."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and documents of the configuration."`
	Config  configCommand  `cmd:"" help:"Publish and read the configuration."`
	Key     keyCommand     `cmd:"" help:"Create and withdraw keys."`
	Route   routeCommand   `cmd:"" help:"Show which route of a configuration handles a request, and why."`
	Explain explainCommand `cmd:"" help:"Show what a running VM would do with a request, and why, without sending it."`
	Dump    dumpCommand    `cmd:"" help:"Show the state of a running daemon."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

func (versionCommand) Run() error {
	fmt.Println("jacinthproxy", version)
	return nil
}

const description = `A proxy fleet for backend servers that fail partly and quietly.

Examples:
  jacinthproxy check --settings daemon.json --document ledger.json
  jacinthproxy serve --settings daemon.json
  jacinthproxy config publish --log http://10.0.0.2:9000 --team ledger --file ledger.json
  jacinthproxy key create --log http://10.0.0.2:9000 --team ledger --account pit-crew --name phone-1
  jacinthproxy route --file configuration.json --host a.example --path /p/q/
  jacinthproxy explain --operators 10.0.0.5:7661 --host a.example --path /p/q/
  jacinthproxy dump --operators 127.0.0.1:7070 --watch

Exit codes: 0 done, 1 failed, 2 findings in the input or on the command line, 3 another change came first.`

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("jacinthproxy"), kong.Description(description),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Exit(exit))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// exit ends the process, replacing kong's exit code for an invalid command line with exitFindings.
func exit(code int) {
	if code != 0 {
		code = exitFindings
	}
	os.Exit(code)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var fs parser.Findings
	switch {
	case errors.As(err, &fs):
		return exitFindings
	case errors.Is(err, merger.ErrStale):
		return exitStale
	}
	return exitFailure
}
