// Command sassafraswind runs an entry host and is the operators' command line.
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

// exitKilled is the exit code after a second signal, which ends the process without a planned stop.
const exitKilled = 130

func main() {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(exitKilled)
	}()
	f := cli.Functions{Serve: node.Serve, Join: platform.Run, CheckSettings: checkSettings, Version: version()}
	os.Exit(cli.Run(ctx, os.Args[1:], f, os.Stdout, os.Stderr))
}

// checkSettings returns the mistakes of a settings file in the form of the command line.
func checkSettings(path string) error {
	_, err := settings.Load(path)
	var found settings.FieldErrors
	if !errors.As(err, &found) {
		return err
	}
	mistakes := make(cli.Mistakes, len(found))
	for i, m := range found {
		mistakes[i] = cli.Mistake(m)
	}
	return mistakes
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
