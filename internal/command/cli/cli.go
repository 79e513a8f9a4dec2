// Package cli is the command line of sassafraswind.
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

// The exit codes.
const (
	ExitOK = 0
	// ExitRejected is that of a rejected change, bad input or a failure that changed nothing.
	ExitRejected = 1
	// ExitDifferent is that of diff when the file differs from the configuration.
	ExitDifferent = 2
	// ExitUnknown is that of a change whose effect is unknown.
	ExitUnknown = 3
)

// Outcomes that no host reports.
const (
	// failed means that no host was asked to change anything.
	failed operator.Outcome = "failed"
	// unchanged means that the host's fresh view is already as asked for, so that nothing was sent.
	unchanged operator.Outcome = "unchanged"
)

// Functions are the parts of the program that the commands start.
type Functions struct {
	// Serve runs an entry host with a settings file until the context ends.
	Serve func(ctx context.Context, path string) error
	// Join runs an entry host on the users' platform until the context ends.
	Join func(ctx context.Context, path, level string, metricsPort int) error
	// CheckSettings reads a settings file. Mistakes in its content are returned as Mistakes, wrapped or not.
	CheckSettings func(path string) error
	// Version is what the version command prints.
	Version string
}

// Mistake is one mistake in a file.
type Mistake struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Field is empty for a syntax error.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

func (m Mistake) Error() string {
	if m.Field == "" {
		return fmt.Sprintf("%s:%d: %s", m.File, m.Line, m.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", m.File, m.Line, m.Field, m.Reason)
}

// Mistakes lists every mistake in a file.
type Mistakes []Mistake

func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, one := range m {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// tree is the command tree.
type tree struct {
	Operators []string `help:"Operators' addresses of entry hosts, comma-separated or repeated. The next one is tried if one cannot be reached." placeholder:"URL" env:"SASSAFRASWIND_OPERATORS" default:"http://127.0.0.1:7300"`
	JSON      bool     `name:"json" help:"Print JSON instead of text."`

	Serve   serveCmd   `cmd:"" help:"Run an entry host."`
	Join    joinCmd    `cmd:"" help:"Run an entry host with the settings file of the users' platform."`
	Check   checkCmd   `cmd:"" help:"Check a settings file or a declarations file without using it."`
	Status  statusCmd  `cmd:"" help:"Show the state of an entry host and whether targets are met."`
	Diff    diffCmd    `cmd:"" help:"Show what applying a declarations file would change."`
	Apply   applyCmd   `cmd:"" help:"Replace all classes and teams by those of a declarations file."`
	Class   classCmds  `cmd:"" help:"List classes and set their targets."`
	Zone    zoneCmds   `cmd:"" help:"List availability zones, take them out and back in."`
	Team    teamCmds   `cmd:"" help:"List teams and set their quotas."`
	Task    taskCmds   `cmd:"" help:"List, show and cancel batch jobs and tasks."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

const description = `sassafraswind schedules urgent requests and batch tasks on shared workers.

A first session:

  sassafraswind check examples/ashyq/almaty-a-1.json
  sassafraswind serve --settings examples/ashyq/almaty-a-1.json
  sassafraswind --operators http://127.0.0.1:18003 apply examples/ashyq/classes.json
  sassafraswind --operators http://127.0.0.1:18003 status

Changes end as "accepted" (in force, with the new version), "unchanged" (it was so already), "rejected" (nothing
changed), "unknown" (may be in force) or "failed" (nothing was sent).

Exit codes: 0 accepted, unchanged or done; 1 rejected, bad input or failed; 2 different (diff only); 3 unknown.`

// session is what a command runs with.
type session struct {
	ctx    context.Context
	funcs  Functions
	hosts  *client
	json   bool
	out    io.Writer
	errOut io.Writer
}

// exit is panicked by kong's exit function, so that Run returns the code.
type exit int

// Run parses the arguments, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, f Functions, out, errOut io.Writer) (code int) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case exit:
			code = int(p)
		default:
			panic(p)
		}
	}()
	var t tree
	k, err := kong.New(&t, kong.Name("sassafraswind"), kong.Description(description), kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(exit(code)) }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "command line: %v\n", err)
		return ExitRejected
	}
	s := &session{ctx: ctx, funcs: f, out: out, errOut: errOut}
	parsed, err := k.Parse(args)
	s.json = t.JSON
	if err != nil {
		return s.report(errors.Newf("%v (try sassafraswind --help)", err))
	}
	if s.hosts, err = newClient(t.Operators, errOut); err != nil {
		return s.report(err)
	}
	return s.report(parsed.Run(s))
}

// failure ends a command whose result is not ExitOK.
type failure struct {
	code  int
	reply operator.Reply
	// advice is printed after the message.
	advice string
	// quiet is set if the command has printed its result.
	quiet bool
}

func (f *failure) Error() string {
	text := f.reply.Message
	if text == "" {
		text = f.reply.Reason
	} else if f.reply.Reason != "" {
		text = f.reply.Reason + ": " + text
	}
	for _, m := range f.reply.FieldErrors {
		text += "\n  " + strings.TrimPrefix(m.Field+": "+m.Reason, ": ")
	}
	return text
}

// report prints an error and returns the exit code for it.
func (s *session) report(err error) int {
	if err == nil {
		return ExitOK
	}
	f := &failure{}
	var mistakes Mistakes
	switch {
	case errors.As(err, &f):
	case errors.As(err, &mistakes):
		if s.json {
			_ = s.print(checkResult{Mistakes: mistakes}, nil)
			return ExitRejected
		}
		// Without a prefix, editors and scripts can read file and line.
		_, _ = fmt.Fprintln(s.errOut, mistakes.Error())
		return ExitRejected
	default:
		f = &failure{code: ExitRejected, reply: operator.Reply{Outcome: failed, Message: err.Error()}}
	}
	if f.quiet {
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

// print writes v as JSON, or calls text to write it for people.
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

// row writes one line of a table.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

type serveCmd struct {
	Settings string `help:"Settings file, JSON with comments." required:"" placeholder:"FILE"`
}

// Help returns the details of the command.
func (serveCmd) Help() string {
	return `Runs until SIGTERM or SIGINT, then stops as planned: reports that it is not ready, waits for the balancer,
finishes what is in flight and releases its workers. A second signal ends it at once.

Example:

  sassafraswind serve --settings examples/ashyq/almaty-a-1.json`
}

// Run runs the entry host.
func (c *serveCmd) Run(s *session) error { return s.funcs.Serve(s.ctx, c.Settings) }

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(s *session) error {
	return s.print(map[string]string{"version": s.funcs.Version}, func(w *tabwriter.Writer) {
		row(w, "sassafraswind "+s.funcs.Version)
	})
}
