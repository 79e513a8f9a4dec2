package cli

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/operator"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// readDocument reads a declarations file. Errors in its content are returned as FieldErrors.
func readDocument(path string) (config.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return config.Document{}, errors.Wrap(err, "declarations")
	}
	doc, lineErrors := config.ParseDocument(data)
	if len(lineErrors) == 0 {
		return doc, nil
	}
	fieldErrors := make(FieldErrors, len(lineErrors))
	for i, e := range lineErrors {
		fieldErrors[i] = FieldError{File: path, Line: e.Line, Field: e.Field, Reason: e.Reason}
	}
	return config.Document{}, fieldErrors
}

// checkCmd checks a settings file, a declarations file or a manifest.
type checkCmd struct {
	File string `arg:"" help:"Settings file or declarations file, JSON with comments, or manifest of the users' platform, JSON."`
}

// Help returns the details of the command.
func (checkCmd) Help() string {
	return `Prints every mistake as file:line: field: reason. A file with a field "classes" or "teams" is a declarations file,
one with "Routes", "Services" or "Tenants" is a manifest of the users' platform, and any other is a settings file. In a
manifest, entries that can never match and limits that contradict each other count as mistakes. No entry host is
contacted.

Examples:

  sassafraswind check examples/ashyq/almaty-a-1.json
  sassafraswind check examples/ashyq/classes.json
  sassafraswind check manifest.json

Exit codes: 0 no mistake; 1 mistakes or the file cannot be read.`
}

// checkResult is the JSON form of the result of a check. Kind is that of detectFileKind.
type checkResult struct {
	OK          bool        `json:"ok"`
	Kind        string      `json:"kind,omitempty"`
	FieldErrors FieldErrors `json:"mistakes,omitempty"`
}

// Run checks the file.
func (c *checkCmd) Run(s *session) error {
	kind, err := s.detectFileKind(c.File)
	if err != nil {
		return err
	}
	switch kind {
	case kindDeclarations:
		_, err = readDocument(c.File)
	case kindManifest:
		err = s.funcs.CheckManifest(c.File)
	default:
		err = s.funcs.CheckSettings(c.File)
	}
	if err != nil {
		return err
	}
	return s.print(checkResult{OK: true, Kind: kind}, func(w *tabwriter.Writer) {
		if kind == kindManifest {
			_, _ = fmt.Fprintf(w, "%s: no mistakes in this manifest\n", c.File)
			return
		}
		_, _ = fmt.Fprintf(w, "%s: no mistakes in these %s\n", c.File, kind)
	})
}

// The kinds of files.
const (
	kindSettings     = "settings"
	kindDeclarations = "declarations"
	kindManifest     = "manifest"
)

// detectFileKind returns the kind of a file. One with a field classes or teams is a declarations file.
func (s *session) detectFileKind(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "check")
	}
	if s.funcs.IsManifest != nil && s.funcs.IsManifest(data) {
		return kindManifest, nil
	}
	// The check itself reports a syntax error with its line.
	v, syntaxError := config.ParseTree(data)
	if syntaxError == nil && (v.Find("/classes") != nil || v.Find("/teams") != nil) {
		return kindDeclarations, nil
	}
	return kindSettings, nil
}

// diffCmd shows what applying a declarations file or putting a manifest in force would change.
type diffCmd struct {
	File     string `arg:"" help:"Declarations file, JSON with comments, or manifest of the users' platform, JSON."`
	Against  string `help:"Manifest with which the manifest is compared." placeholder:"FILE" xor:"base"`
	Settings string `help:"Settings file of join: the manifest is compared with the newest one in the store that it names." placeholder:"FILE" xor:"base"`
}

// Help returns the details of the command.
func (diffCmd) Help() string {
	return `Prints what applying the file would add (+), change (~) and drop (-). Nothing is changed. Of API keys it prints only
how many were added and removed.

Examples:

  sassafraswind diff examples/ashyq/classes.json
  sassafraswind diff manifest.json --against manifest-old.json
  sassafraswind diff manifest.json --settings /etc/sassafraswind/node.conf

Exit codes: 0 equal; 1 bad input or no host answered; 2 different.`
}

// diffResult is the JSON form of a diff.
type diffResult struct {
	Version uint64         `json:"version"`
	Fresh   bool           `json:"fresh"`
	Changes []entityChange `json:"changes"`
}

// Run compares the configuration, or another manifest, with the file.
func (c *diffCmd) Run(s *session) error {
	kind, err := s.detectFileKind(c.File)
	if err != nil {
		return err
	}
	if kind == kindManifest {
		return c.diffManifest(s)
	}
	if c.Against != "" || c.Settings != "" {
		return errors.Newf("%s is no manifest: --against and --settings are for manifests", c.File)
	}
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	view, err := s.readConfig()
	if err != nil {
		return err
	}
	changes := compareDocuments(view.Document, doc)
	err = s.print(diffResult{Version: view.Version, Fresh: view.Fresh, Changes: changes}, func(w *tabwriter.Writer) {
		printChanges(w, changes)
		if len(changes) == 0 {
			_, _ = fmt.Fprintf(w, "equal to document version %d\n", view.Version)
		}
		printStaleNote(w, view)
	})
	if err == nil && len(changes) > 0 {
		return &failure{code: ExitDifferent, printed: true}
	}
	return err
}

// applyCmd replaces all classes and teams by those of a declarations file.
type applyCmd struct {
	File string  `arg:"" help:"Declarations file, JSON with comments."`
	Base *uint64 `help:"Document version that the file was compared with, by default the current one. The change is rejected if it is not the current one." placeholder:"VERSION"`
}

// Help returns the details of the command.
func (applyCmd) Help() string {
	return `Replaces all classes and teams by those of the file; classes and teams that the file lacks are dropped. Zones are not
touched. Applying the same file again changes nothing. If anyone changed the configuration after it was read, the
file is rejected as a whole.

Examples:

  sassafraswind diff examples/ashyq/classes.json
  sassafraswind apply examples/ashyq/classes.json
  sassafraswind apply --base 120 examples/ashyq/classes.json

Exit codes: 0 accepted or unchanged; 1 rejected or bad input; 3 unknown.`
}

// Run applies the file.
func (c *applyCmd) Run(s *session) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	view, err := s.readConfig()
	if err != nil {
		return err
	}
	base := view.Version
	if c.Base != nil {
		base = *c.Base
	}
	changes := compareDocuments(view.Document, doc)
	// A view that is not fresh may miss changes, so only the host can tell that there is nothing to change.
	if len(changes) == 0 && view.Fresh && base == view.Version {
		return s.printUnchanged("the configuration is as "+c.File+" declares", view.Version, view.Version)
	}
	if !s.json {
		printChanges(s.out, changes)
	}
	return s.propose(
		config.Proposal{BaseVersion: base, Apply: &doc}, "the configuration is as "+c.File+" declares", changes,
		func(current operator.ConfigView) {
			changesSince := compareDocuments(view.Document, current.Document)
			switch {
			case len(changesSince) > 0:
				_, _ = fmt.Fprintln(s.errOut, "classes and teams have changed meanwhile:")
				printChanges(s.errOut, changesSince)
			case base != view.Version:
				_, _ = fmt.Fprintf(s.errOut,
					"this host has document version %d; run diff to compare the file with it\n", view.Version)
			default:
				_, _ = fmt.Fprintln(s.errOut, "classes and teams are as before; a zone may have changed")
			}
		})
}
