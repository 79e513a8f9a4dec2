package config

import (
	"runtime"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestParseMemory guards against texts that take more memory than ParseMemory says, which is reserved before they are parsed.
func TestParseMemory(t *testing.T) {
	Convey("Parsing takes no more memory than it says", t, func() {
		for name, text := range map[string]string{
			"many numbers":  "[" + strings.Repeat("0,", maxSeparators-1) + "0]",
			"many lists":    "[" + strings.Repeat("[],", maxBrackets-2) + "[]]",
			"many members":  "{" + strings.Repeat(`"":0,`, maxSeparators/2-1) + `"":0}`,
			"deep nesting":  strings.Repeat("[", maxBrackets) + strings.Repeat("]", maxBrackets),
			"many newlines": strings.Repeat("\n", 500_000) + "[]",
		} {
			Convey(name, func() {
				data := []byte(text)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				_, mistakes := ParseProposal(data)
				runtime.ReadMemStats(&after)
				So(mistakes, ShouldNotBeEmpty)
				So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, ParseMemory(data)+64*int64(len(data)))
			})
		}
	})
	Convey("A text with more values is refused before it is parsed", t, func() {
		_, mistakes := ParseProposal([]byte("[" + strings.Repeat("0,", maxSeparators+1) + "0]"))
		So(mistakes, ShouldHaveLength, 1)
		So(mistakes[0].Reason, ShouldContainSubstring, "commas and colons")
	})
}
