// Package seed fixes the random inputs of property tests, so that every run of a test gives the same result.
package seed

import (
	"flag"
	"os"
	"strconv"
)

// envSeed is the environment variable from which the property-testing library takes the default of its flag for the
// seed.
const envSeed = "RAPID_SEED"

// runner is implemented by *testing.M, which a test binary passes to TestMain.
type runner interface{ Run() int }

// Main runs the tests of a package with a fixed seed and ends the process with their exit code. Each property is
// checked with as many random inputs as checks says. Flags given on the command line take precedence, so that a failure
// can be investigated with other seeds; so does a seed in the environment, which scripts/seeds sets, but no other
// variable of the library, so that none reduces the number of inputs. Failures are not saved to files: a later run
// would replay them first and so differ from the previous one.
func Main(m runner, seed, checks int) {
	flag.Parse()
	// given has the flags that are set on the command line.
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	if _, ok := os.LookupEnv(envSeed); ok {
		given["rapid.seed"] = true
	}
	setDefault := func(name, value string) {
		if given[name] {
			return
		}
		// A missing flag means that the property-testing library has changed: the inputs would no longer be fixed and the
		// result would depend on chance.
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	setDefault("rapid.seed", strconv.Itoa(seed))
	setDefault("rapid.checks", strconv.Itoa(checks))
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
