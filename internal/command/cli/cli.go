// Package cli implements the command line of sassafraswind: it runs entry hosts, checks files, and shows and changes
// the configuration and batch jobs through the operators' address of entry hosts.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/operator"
)

// The exit codes of the commands.
const (
	// ExitOK means that the command succeeded, also if a change was not needed.
	ExitOK = 0
	// ExitRejected means that a change was rejected, the input was invalid or the command failed without changing
	// anything.
	ExitRejected = 1
	// ExitDifferent means that diff found the file different from the configuration.
	ExitDifferent = 2
	// ExitUnknown means that the effect of a change is unknown.
	ExitUnknown = 3
)

// Outcomes that the command line reports itself, in addition to those of hosts.
const (
	// outcomeFailed means that no host was asked to change anything.
	outcomeFailed operator.Outcome = "failed"
	// outcomeUnchanged means that the host's view was fresh and already as asked for, so that nothing was sent.
	outcomeUnchanged operator.Outcome = "unchanged"
)

// Functions are the parts of the program that the commands call.
type Functions struct {
	// Serve runs an entry host with a settings file until the context ends.
	Serve func(ctx context.Context, path string) error
	// Join runs an entry host with the settings file of the users' platform until the context ends. The level is that
	// of the log; metricsPort 0 serves no metrics.
	Join func(ctx context.Context, path, level string, metricsPort int) error
	// CheckSettings reads a settings file. Errors in its content are returned as FieldErrors, wrapped or not.
	CheckSettings func(path string) error
	// IsManifest reports whether a file is a manifest of the users' platform.
	IsManifest func(data []byte) bool
	// CheckManifest checks a manifest. Mistakes in its content are returned as FieldErrors, wrapped or not.
	CheckManifest func(path string) error
	// ReadManifest returns the content of a manifest.
	ReadManifest func(path string) (Manifest, error)
	// ReadManifestInForce returns the newest manifest in the store of a deployment. The path is that of the settings file of
	// one of its hosts.
	ReadManifestInForce func(ctx context.Context, path string) (Manifest, error)
	// Version is the version that the version command prints.
	Version string
}

// FieldError is one error in the content of a file.
type FieldError struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Field is empty for a syntax error.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// Error returns the error as file:line: field: reason.
func (e FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// FieldErrors lists every error in the content of a file.
type FieldErrors []FieldError

// Error returns one line for each error.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// commandLine is the tree of flags and commands that kong parses.
type commandLine struct {
	Operators []string `help:"Operators' addresses of entry hosts, comma-separated or repeated. The next one is tried if one cannot be reached." placeholder:"URL" env:"SASSAFRASWIND_OPERATORS" default:"http://127.0.0.1:7300"`
	JSON      bool     `name:"json" help:"Print JSON instead of text."`

	Serve   serveCmd   `cmd:"" help:"Run an entry host."`
	Join    joinCmd    `cmd:"" help:"Run an entry host with the settings file of the users' platform."`
	Check   checkCmd   `cmd:"" help:"Check a settings file, a declarations file or a manifest without using it."`
	Status  statusCmd  `cmd:"" help:"Show the state of an entry host and whether targets are met."`
	Diff    diffCmd    `cmd:"" help:"Show what applying a declarations file would change, or compare manifests."`
	Apply   applyCmd   `cmd:"" help:"Replace all classes and teams by those of a declarations file."`
	Class   classCmds  `cmd:"" help:"List classes and set their targets."`
	Zone    zoneCmds   `cmd:"" help:"List availability zones, take them out of service and bring them back."`
	Team    teamCmds   `cmd:"" help:"List teams and set their quotas."`
	Task    taskCmds   `cmd:"" help:"List, show and cancel batch jobs and tasks."`
	Load    loadCmd    `cmd:"" help:"Show waiting, refusals, lateness and wasted work from the metrics of hosts that join runs."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// description is the help text of the program.
const description = `sassafraswind schedules urgent requests and batch tasks on shared workers.

A first session:

  sassafraswind check examples/ashyq/almaty-a-1.json
  sassafraswind serve --settings examples/ashyq/almaty-a-1.json
  sassafraswind --operators http://127.0.0.1:18003 apply examples/ashyq/classes.json
  sassafraswind --operators http://127.0.0.1:18003 status

Changes end as "accepted" (in force, with the new version), "unchanged" (it was so already), "rejected" (nothing
changed), "unknown" (may be in force) or "failed" (nothing was sent).

Exit codes: 0 accepted, unchanged or done; 1 rejected, bad input or failed; 2 different (diff only); 3 unknown.`

// session holds what a running command needs: its context, the client and the output streams.
type session struct {
	ctx    context.Context
	funcs  Functions
	client *client
	json   bool
	out    io.Writer
	errOut io.Writer
}

// exitCode is the value of the panic by which kong's exit function ends parsing; Run recovers it and returns it.
type exitCode int

// Run parses the arguments, runs the command and returns its exit code. It writes results to out and errors to errOut.
func Run(ctx context.Context, args []string, f Functions, out, errOut io.Writer) (code int) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case exitCode:
			code = int(p)
		default:
			panic(p)
		}
	}()
	var flags commandLine
	k, err := kong.New(&flags, kong.Name("sassafraswind"), kong.Description(description), kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(exitCode(code)) }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "command line: %v\n", err)
		return ExitRejected
	}
	s := &session{ctx: ctx, funcs: f, out: out, errOut: errOut}
	parsed, err := k.Parse(args)
	s.json = flags.JSON
	if err != nil {
		return s.report(errors.Newf("%v (try sassafraswind --help)", err))
	}
	if s.client, err = newClient(flags.Operators, errOut); err != nil {
		return s.report(err)
	}
	return s.report(parsed.Run(s))
}

// failure is the error of a command that ends with an exit code other than ExitOK.
type failure struct {
	code  int
	reply operator.Reply
	// advice tells the operator what to do next; it is printed after the message.
	advice string
	// printed is set if the command has already printed its result, so that report prints nothing.
	printed bool
}

// Error returns reason and message of the reply, with one line for each field error.
func (f *failure) Error() string {
	text := f.reply.Message
	if text == "" {
		text = f.reply.Reason
	} else if f.reply.Reason != "" {
		text = f.reply.Reason + ": " + text
	}
	for _, e := range f.reply.FieldErrors {
		text += "\n  " + strings.TrimPrefix(e.Field+": "+e.Reason, ": ")
	}
	return text
}

// report prints the error of a command, if there is one, and returns the exit code.
func (s *session) report(err error) int {
	if err == nil {
		return ExitOK
	}
	f := &failure{}
	var fieldErrors FieldErrors
	switch {
	case errors.As(err, &f):
	case errors.As(err, &fieldErrors):
		if s.json {
			_ = s.print(checkResult{FieldErrors: fieldErrors}, nil)
			return ExitRejected
		}
		// The lines have no prefix, so that editors and scripts can parse file and line.
		_, _ = fmt.Fprintln(s.errOut, fieldErrors.Error())
		return ExitRejected
	default:
		f = &failure{code: ExitRejected, reply: operator.Reply{Outcome: outcomeFailed, Message: err.Error()}}
	}
	if f.printed {
		return f.code
	}
	if s.json {
		_ = s.print(f.reply, nil)
		return f.code
	}
	_, _ = fmt.Fprintf(s.errOut, "%s: %s\n", f.reply.Outcome, f.Error())
	if f.advice != "" {
		_, _ = fmt.Fprintln(s.errOut, f.advice)
	}
	return f.code
}

// print writes v as JSON if --json is set or text is nil; otherwise it calls text to write the readable form.
func (s *session) print(v any, text func(w *tabwriter.Writer)) error {
	if s.json || text == nil {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(v), "print")
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	text(w)
	return errors.Wrap(w.Flush(), "print")
}

// printRow writes one line of a table, with the cells separated by tabs.
func printRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

// serveCmd runs an entry host.
type serveCmd struct {
	Settings string `help:"Settings file, JSON with comments." required:"" placeholder:"FILE"`
}

// Help returns the details of the command.
func (serveCmd) Help() string {
	return `Runs until SIGTERM or SIGINT, then stops as planned: reports that it is not ready, waits for the load
balancer, finishes the requests in flight and releases its workers. A second signal ends the process at once.

Example:

  sassafraswind serve --settings examples/ashyq/almaty-a-1.json`
}

// Run runs the entry host.
func (c *serveCmd) Run(s *session) error { return s.funcs.Serve(s.ctx, c.Settings) }

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(s *session) error {
	return s.print(map[string]string{"version": s.funcs.Version}, func(w *tabwriter.Writer) {
		printRow(w, "sassafraswind "+s.funcs.Version)
	})
}
