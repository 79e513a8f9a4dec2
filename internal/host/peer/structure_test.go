package peer

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// message is a message with values of all kinds.
type message struct {
	Text  string            `msgpack:"t"`
	Data  []byte            `msgpack:"d"`
	List  []int64           `msgpack:"l"`
	Parts []message         `msgpack:"p"`
	Names map[string]uint64 `msgpack:"n"`
	Share float64           `msgpack:"s"`
	Set   bool              `msgpack:"b"`
}

// drawMessage draws a message with at most the given number of levels of parts. Its maps have one entry at most, since the order
// of more in the encoding is random.
func drawMessage(t *rapid.T, levels int) message {
	m := message{
		Text: rapid.String().Draw(t, "text"), Data: rapid.SliceOf(rapid.Byte()).Draw(t, "data"),
		List: rapid.SliceOfN(rapid.Int64(), 0, 40).Draw(t, "list"), Share: rapid.Float64().Draw(t, "share"),
		Names: rapid.MapOfN(rapid.String(), rapid.Uint64(), 0, 1).Draw(t, "names"), Set: rapid.Bool().Draw(t, "set"),
	}
	if levels > 0 {
		for range rapid.IntRange(0, 2).Draw(t, "parts") {
			m.Parts = append(m.Parts, drawMessage(t, levels-1))
		}
	}
	return m
}

// TestMessagesOfHostsAreTaken guards against a message of another host that is refused for its structure, and against one that
// is cut off and taken.
func TestMessagesOfHostsAreTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t, 3)
		m.Text += strings.Repeat("x", rapid.SampledFrom([]int{0, 300, 70_000}).Draw(t, "long"))
		m.List = append(m.List, make([]int64, rapid.SampledFrom([]int{0, 300, 70_000}).Draw(t, "many"))...)
		data, err := codec{}.Marshal(&m)
		if err != nil {
			t.Fatal(err)
		}
		memory, err := decodedMemory(data)
		if err != nil || memory < int64(len(m.List))*8 {
			t.Fatalf("a message of %d bytes with %d numbers takes %d bytes: %v", len(data), len(m.List), memory, err)
		}
		var decoded message
		if err := (codec{}).Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		again, err := msgpack.Marshal(&decoded)
		if err != nil || !bytes.Equal(data, again) {
			t.Fatalf("the message is another one once it was decoded: %v", err)
		}
		if _, err := decodedMemory(data[:rapid.IntRange(0, len(data)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("a message that is cut off was taken")
		}
	})
}

// TestMalformedMessages guards against messages that take far more memory than their size, or a stack without bound, once they
// are decoded.
func TestMalformedMessages(t *testing.T) {
	Convey("A message is refused", t, func() {
		for name, data := range map[string]string{
			"that announces a longer list than it holds":  "\xdd\xff\xff\xff\xff\xc0",
			"that announces a larger map than it holds":   "\xdf\x00\x0f\x00\x00\xc0\xc0",
			"that announces a longer text than it holds":  "\xdb\xff\xff\xff\xffx",
			"that announces longer data than it holds":    "\xc9\xff\xff\xff\xff\x01x",
			"that is nested without end":                  strings.Repeat("\x91", 1000) + "\xc0",
			"that holds a code that stands for no value":  "\x91\xc1",
			"of which the length of a list is incomplete": "\xdd\x00\x00",
			"that is empty": "",
		} {
			Convey(name, func() {
				var v any
				So(codec{}.Unmarshal([]byte(data), &v), ShouldNotBeNil)
			})
		}
	})
}
