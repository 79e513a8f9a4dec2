package record

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/standin/seed"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result.
func TestMain(m *testing.M) { seed.Main(m, 1, 100) }

type sample struct {
	Name string `msgpack:"name"`
	N    int    `msgpack:"n"`
}

// TestEnvelopeRoundTrip guards against items that change when they are encoded and decoded.
func TestEnvelopeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := sample{Name: rapid.String().Draw(t, "name"), N: rapid.Int().Draw(t, "n")}
		item, err := EncodeItem("sample", v)
		if err != nil {
			t.Fatal(err)
		}
		data, err := Encode(Envelope{Writer: "w", Seq: 1, Items: []Item{item}})
		if err != nil {
			t.Fatal(err)
		}
		e, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeItem[sample](e.Items[0])
		if err != nil || got != v {
			t.Fatalf("DecodeItem returned %+v and error %v, want the encoded value %+v", got, err, v)
		}
	})
}

// TestDecodeRefusesNewerVersion guards against a reader that applies a record of a newer format as if it knew that
// format.
func TestDecodeRefusesNewerVersion(t *testing.T) {
	Convey("A newer envelope version has its own error", t, func() {
		data, err := Encode(Envelope{Writer: "w", Seq: 1})
		So(err, ShouldBeNil)
		i := indexAfter(data, "version")
		data[i] = Version + 1
		_, err = Decode(data)
		So(errors.Is(err, ErrNewerVersion), ShouldBeTrue)
	})
}

// TestDecodeRefusesTruncatedAndTrailingBytes guards against accepting a record that is truncated or followed by bytes
// of another one.
func TestDecodeRefusesTruncatedAndTrailingBytes(t *testing.T) {
	item, _ := EncodeItem("sample", sample{Name: "a", N: 1})
	data, err := Encode(Envelope{Writer: "w", Seq: 1, Items: []Item{item}})
	if err != nil {
		t.Fatal(err)
	}
	for n := range data {
		if _, err := Decode(data[:n]); !errors.Is(err, ErrMalformed) {
			t.Errorf("Decode of the first %d bytes: %v, want ErrMalformed", n, err)
		}
	}
	if _, err := Decode(append(data, 0xc0)); !errors.Is(err, ErrMalformed) {
		t.Errorf("Decode with a trailing byte: %v, want ErrMalformed", err)
	}
	if _, err := Decode(make([]byte, MaxSize+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("Decode of more than MaxSize bytes: %v, want ErrTooLarge", err)
	}
}

// indexAfter returns the index of the byte after the given map key.
func indexAfter(data []byte, key string) int {
	for i := range data {
		if i+len(key) < len(data) && string(data[i:i+len(key)]) == key {
			return i + len(key)
		}
	}
	return -1
}

// FuzzDecode guards against log content that makes a reader panic.
func FuzzDecode(f *testing.F) {
	item, _ := EncodeItem("sample", sample{Name: "a", N: 1})
	data, _ := Encode(Envelope{Writer: "w", Seq: 1, Items: []Item{item}})
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		for _, i := range e.Items {
			_, _ = DecodeItem[sample](i)
		}
	})
}
