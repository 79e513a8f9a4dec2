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
	os.Exit(cli.Run(ctx, os.Args[1:], functions(), os.Stdout, os.Stderr))
}

// functions returns the parts of the program that the commands call.
func functions() cli.Functions {
	return cli.Functions{
		Serve: node.Serve, Join: platform.Run, CheckSettings: checkSettings, Version: version(),
		IsManifest: platform.IsManifest, CheckManifest: checkManifest, ReadManifest: readManifest,
		ReadManifestInForce: readManifestInForce,
	}
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

// checkManifest checks a manifest of the users' platform. It returns the mistakes in its content as cli.FieldErrors.
func checkManifest(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "manifest")
	}
	mistakes := platform.CheckManifest(path, data)
	if len(mistakes) == 0 {
		return nil
	}
	fieldErrors := make(cli.FieldErrors, len(mistakes))
	for i, e := range mistakes {
		fieldErrors[i] = cli.FieldError(e)
	}
	return fieldErrors
}

// readManifest reads a manifest of the users' platform.
func readManifest(path string) (cli.Manifest, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return cli.Manifest{}, errors.Wrap(err, "manifest")
	}
	content, err := platform.ReadManifest(data)
	return convertManifest(content), errors.Wrap(err, path)
}

// readManifestInForce reads the newest manifest in the store that a settings file of the users' platform names.
func readManifestInForce(ctx context.Context, path string) (cli.Manifest, error) {
	content, err := platform.ReadManifestInForce(ctx, path)
	return convertManifest(content), err
}

// convertManifest converts the content of a manifest.
func convertManifest(content platform.ManifestContent) cli.Manifest {
	m := cli.Manifest{Version: content.Version, Entries: make([]cli.ManifestEntry, len(content.Entries))}
	for i, e := range content.Entries {
		m.Entries[i] = cli.ManifestEntry(e)
	}
	return m
}

// version returns the module version of the build, or "unknown".
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
