package seed

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	_ "pgregory.net/rapid" // defines the flags
)

// envPrint is the environment variable that makes the test binary print the flags that Main sets, instead of running
// tests.
const envPrint = "SEED_TEST_PRINT"

// flagPrinter is a runner that prints the flags instead of running tests.
type flagPrinter struct{}

func (flagPrinter) Run() int {
	for _, name := range []string{"seed", "checks", "nofailfile"} {
		fmt.Println(name, flag.Lookup("rapid."+name).Value)
	}
	return 0
}

func TestMain(m *testing.M) {
	if os.Getenv(envPrint) != "" {
		Main(flagPrinter{}, 5, 300)
	}
	os.Exit(m.Run())
}

// TestSeedPrecedence guards against a fresh seed that the fixed one of a package replaces, so that scripts/seeds tries
// nothing new, and against an environment that reduces the number of inputs.
func TestSeedPrecedence(t *testing.T) {
	run := func(env []string, args ...string) string {
		cmd := exec.CommandContext(t.Context(), os.Args[0], args...)
		cmd.Env = append(slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, "RAPID_") }),
			append(env, envPrint+"=1")...)
		out, err := cmd.CombinedOutput()
		So(err, ShouldBeNil)
		return string(out)
	}
	Convey("The seed and the number of inputs of a package are the defaults", t, func() {
		So(run(nil), ShouldEqual, "seed 5\nchecks 300\nnofailfile true\n")
	})
	Convey("A seed in the environment takes precedence, other variables do not", t, func() {
		So(run([]string{"RAPID_SEED=9"}), ShouldEqual, "seed 9\nchecks 300\nnofailfile true\n")
		So(run([]string{"RAPID_CHECKS=1", "RAPID_NOFAILFILE=false"}), ShouldEqual,
			"seed 5\nchecks 300\nnofailfile true\n")
	})
	Convey("Flags take precedence over the environment", t, func() {
		So(run([]string{"RAPID_SEED=9"}, "-rapid.seed=11", "-rapid.checks=400"), ShouldEqual,
			"seed 11\nchecks 400\nnofailfile true\n")
	})
}
