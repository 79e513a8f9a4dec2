// Command sassafraswind runs an entry host and provides the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/command/cli"
	"sassafraswind.example/sassafraswind/internal/host/node"
	"sassafraswind.example/sassafraswind/internal/host/settings"
	"sassafraswind.example/sassafraswind/platform"
)

// exitInterrupted is the exit code after a second signal, which ends the process at once, without a planned stop. It is
// the code with which shells report a process that SIGINT ended, 128 + 2.
const exitInterrupted = 130

func main() {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(exitInterrupted)
	}()
	functions := cli.Functions{Serve: node.Serve, Join: platform.Run, CheckSettings: checkSettings, Version: version()}
	os.Exit(cli.Run(ctx, os.Args[1:], functions, os.Stdout, os.Stderr))
}

// checkSettings reads a settings file. It returns the errors in its content as cli.FieldErrors, and other errors as
// they are.
func checkSettings(path string) error {
	_, err := settings.Load(path)
	var settingsErrors settings.FieldErrors
	if !errors.As(err, &settingsErrors) {
		return err
	}
	fieldErrors := make(cli.FieldErrors, len(settingsErrors))
	for i, e := range settingsErrors {
		fieldErrors[i] = cli.FieldError(e)
	}
	return fieldErrors
}

// version returns the module version of the build, or "unknown".
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
