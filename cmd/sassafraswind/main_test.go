package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/command/cli"
)

const manifestText = `{"Version":7,
"Routes":[{"Name":"pricing","Host":"h","PathPrefix":"/p/","Service":"s","TargetLatencyMs":500}],
"Services":[{"Name":"s"}],
"Limits":{"MaxBodyBytes":262144},
"Tenants":[{"Name":"desk","ApiKeys":["5ecr37-a","5ecr37-b"],"Weight":14,"MaxCount":{"Cpu":9007199254740993}}]}`

// runCommand runs a command and returns its exit code and what it wrote, which must not contain a key.
func runCommand(t *testing.T, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = cli.Run(t.Context(), args, functions(), &stdout, &stderr)
	So(stdout.String()+stderr.String(), ShouldNotContainSubstring, "5ecr37")
	return code, stdout.String(), stderr.String()
}

// TestManifestCommands guards against a manifest that check takes for a file of serve, a difference that diff misses, and API
// keys in what the commands print.
func TestManifestCommands(t *testing.T) {
	Convey("Manifests are checked and compared", t, func() {
		dir := t.TempDir()
		write := func(name, text string) string {
			path := filepath.Join(dir, name)
			So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
			return path
		}
		replace := func(pairs ...string) string {
			for i := 0; i < len(pairs); i += 2 {
				So(strings.Count(manifestText, pairs[i]), ShouldEqual, 1)
			}
			return strings.NewReplacer(pairs...).Replace(manifestText)
		}
		old := write("old.json", manifestText)
		Convey("check finds no mistake in a good one", func() {
			code, out, errOut := runCommand(t, "check", old)
			So([]any{code, out, errOut}, ShouldResemble, []any{cli.ExitOK, old + ": no mistakes in this manifest\n", ""})
		})
		Convey("check prints each mistake with file, line and field", func() {
			path := write("bad.json", replace(`"Service":"s"`, `"Service":"t"`, `"Weight":14`, `"Weight":0`))
			code, out, errOut := runCommand(t, "check", path)
			So([]any{code, out, errOut}, ShouldResemble, []any{cli.ExitRejected, "",
				path + ":2: Routes[0].Service: is not among Services: no worker can serve the route\n" +
					path + ":5: Tenants[0].Weight: must be above 0\n"})
			code, out, _ = runCommand(t, "--json", "check", path)
			So(code, ShouldEqual, cli.ExitRejected)
			So(out, ShouldContainSubstring, `"field": "Tenants[0].Weight"`)
		})
		Convey("check names the line of a syntax error, and not the text", func() {
			path := write("broken.json", replace(`["5ecr37-a","5ecr37-b"]`, `["5ecr37-a",5ecr37-b]`))
			code, _, errOut := runCommand(t, "check", path)
			So(code, ShouldEqual, cli.ExitRejected)
			So(errOut, ShouldStartWith, path+":5: invalid character")
		})
		Convey("diff prints what changes, and of keys only how many", func() {
			path := write("new.json", replace(`"Version":7`, `"Version":8`, `500`, `700`, `"5ecr37-b"`, `"5ecr37-c","5ecr37-d"`,
				`"Name":"s"}`, `"Name":"s"},{"Name":"u","EnforcesCapacity":true}`, `740993`, `740992`))
			code, out, errOut := runCommand(t, "diff", path, "--against", old)
			So([]any{code, errOut}, ShouldResemble, []any{cli.ExitDifferent, ""})
			So(out, ShouldEqual, `~ route h/p/
  ~ TargetLatencyMs: 500 -> 700
+ service u
  + EnforcesCapacity: true
  + Name: u
~ tenant desk
  ~ MaxCount.Cpu: 9007199254740993 -> 9007199254740992
  ~ ApiKeys: 2 keys -> 3 keys (2 added, 1 removed)
`)
			code, out, errOut = runCommand(t, "--json", "diff", old, "--against", path)
			So(code, ShouldEqual, cli.ExitDifferent)
			So(out, ShouldContainSubstring, `"new": "2 keys (1 added, 2 removed)"`)
			So(errOut, ShouldContainSubstring, "Version 7 is not above version 8")
		})
		Convey("diff prints the removal of a tenant", func() {
			withoutTenants, _, _ := strings.Cut(manifestText, ",\n\"Tenants")
			path := write("new.json", strings.Replace(withoutTenants+"}", `"Version":7`, `"Version":8`, 1))
			_, out, _ := runCommand(t, "diff", path, "--against", old)
			So(out, ShouldEqual, "- tenant desk\n  - MaxCount.Cpu: 9007199254740993\n  - Name: desk\n  - Weight: 14\n  - ApiKeys: 2 keys\n")
		})
		Convey("diff ends with 0 if only the version differs", func() {
			code, out, _ := runCommand(t, "diff", write("new.json", replace(`"Version":7`, `"Version":8`)), "--against", old)
			So([]any{code, out}, ShouldResemble, []any{cli.ExitOK, "equal to version 7, but for the version 8\n"})
		})
		Convey("diff says with what a manifest can be compared", func() {
			code, _, errOut := runCommand(t, "diff", old)
			So(code, ShouldEqual, cli.ExitRejected)
			So(errOut, ShouldContainSubstring, "--against or --settings")
			code, _, errOut = runCommand(t, "diff", write("classes.json", `{"classes":[],"teams":[]}`), "--against", old)
			So(code, ShouldEqual, cli.ExitRejected)
			So(errOut, ShouldContainSubstring, "is no manifest")
			code, _, _ = runCommand(t, "diff", old, "--settings", old)
			So(code, ShouldEqual, cli.ExitRejected)
		})
	})
}
