package peer

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// maxDepth is the largest depth of lists and maps in a message. The package msgpack recurses once for each.
	maxDepth = 32
	// elementMemory and entryMemory are the memory in bytes that an element of a list and an entry of a map take once they are
	// decoded, with what decoding leaves behind. They hold for the types of this program's messages but workflow.Steps, which
	// bounds itself.
	elementMemory = 48
	entryMemory   = 128
)

// ErrMalformed marks the error of a message that no host sends. It was not carried out.
var ErrMalformed = errors.New("peer: malformed message")

// decodedMemory returns the memory in bytes that the lists and maps of an encoded message take once they are decoded. It
// returns an error if the message is cut off or too deep, or announces more elements than it can hold: the package msgpack takes
// the memory for all elements of a list when it reads the length.
func decodedMemory(data []byte) (int64, error) {
	var memory int64
	// open holds the number of values that are left of each list and map around the present value.
	open := append(make([]int, 0, maxDepth), 1)
	for len(open) > 0 {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		v, err := readValue(data)
		if err != nil {
			return 0, err
		}
		data = data[v.size:]
		if v.children == 0 {
			continue
		}
		if v.children > len(data) {
			return 0, errors.Mark(errors.Newf("peer: a list of %d values in %d bytes", v.children, len(data)), ErrMalformed)
		}
		if len(open) == maxDepth {
			return 0, errors.Mark(errors.Newf("peer: a message of over %d levels", maxDepth), ErrMalformed)
		}
		open = append(open, v.children)
		memory += v.memory
	}
	return memory, nil
}

// value is the beginning of an encoded value.
type value struct {
	// size is its number of bytes, without those of its children.
	size int
	// children is the number of values that it holds, memory what they take in bytes.
	children int
	memory   int64
}

// fixedSizes holds the sizes in bytes of the values whose code gives the size.
var fixedSizes = map[byte]int{
	msgpcode.Nil: 1, msgpcode.False: 1, msgpcode.True: 1, msgpcode.Float: 5, msgpcode.Double: 9,
	msgpcode.Uint8: 2, msgpcode.Uint16: 3, msgpcode.Uint32: 5, msgpcode.Uint64: 9,
	msgpcode.Int8: 2, msgpcode.Int16: 3, msgpcode.Int32: 5, msgpcode.Int64: 9,
	msgpcode.FixExt1: 3, msgpcode.FixExt2: 4, msgpcode.FixExt4: 6, msgpcode.FixExt8: 10, msgpcode.FixExt16: 18,
}

// lengthSizes holds the sizes in bytes of the lengths that follow a code.
var lengthSizes = map[byte]int{
	msgpcode.Str8: 1, msgpcode.Str16: 2, msgpcode.Str32: 4, msgpcode.Bin8: 1, msgpcode.Bin16: 2, msgpcode.Bin32: 4,
	msgpcode.Ext8: 1, msgpcode.Ext16: 2, msgpcode.Ext32: 4,
	msgpcode.Array16: 2, msgpcode.Array32: 4, msgpcode.Map16: 2, msgpcode.Map32: 4,
}

// readValue reads the beginning of the first value.
func readValue(data []byte) (value, error) {
	if len(data) == 0 {
		return value{}, errors.Mark(errors.New("peer: a message that is cut off"), ErrMalformed)
	}
	c := data[0]
	v := value{size: 1}
	switch {
	case msgpcode.IsFixedNum(c):
	case msgpcode.IsFixedString(c):
		v.size += int(c & msgpcode.FixedStrMask)
	case msgpcode.IsFixedArray(c):
		v = listOf(1, int(c&msgpcode.FixedArrayMask))
	case msgpcode.IsFixedMap(c):
		v = mapOf(1, int(c&msgpcode.FixedMapMask))
	case fixedSizes[c] > 0:
		v.size = fixedSizes[c]
	case lengthSizes[c] > 0:
		var err error
		if v, err = readLength(c, data[1:]); err != nil {
			return value{}, err
		}
	default:
		return value{}, errors.Mark(errors.Newf("peer: unknown code %#x", c), ErrMalformed)
	}
	if v.size > len(data) {
		return value{}, errors.Mark(errors.New("peer: a message that is cut off"), ErrMalformed)
	}
	return v, nil
}

// readLength reads the length of a value with the code, which comes first in data.
func readLength(c byte, data []byte) (value, error) {
	size := lengthSizes[c]
	if size > len(data) {
		return value{}, errors.Mark(errors.New("peer: a message that is cut off"), ErrMalformed)
	}
	var padded [8]byte
	copy(padded[len(padded)-size:], data[:size])
	n := int(binary.BigEndian.Uint64(padded[:]))
	switch c {
	case msgpcode.Array16, msgpcode.Array32:
		return listOf(1+size, n), nil
	case msgpcode.Map16, msgpcode.Map32:
		return mapOf(1+size, n), nil
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		// A byte with the type follows the length.
		n++
	}
	return value{size: 1 + size + n}, nil
}

// listOf returns the beginning of a list of n elements.
func listOf(size, n int) value {
	return value{size: size, children: n, memory: int64(n) * elementMemory}
}

// mapOf returns the beginning of a map of n entries.
func mapOf(size, n int) value {
	return value{size: size, children: 2 * n, memory: int64(n) * entryMemory}
}
