package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quillshunt/internal/limits"
)

// Raw is an encoded value that is decoded later.
type Raw = cbor.RawMessage

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// newEncMode returns the encoding of messages: nil lists are written as empty ones, as other programs
// do not expect null there.
func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{NilContainers: cbor.NilContainerAsEmpty}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// newDecMode returns the decoding of messages. It bounds what a sender can make the decoder allocate,
// and refuses duplicate keys and CBOR tags, which the protocol does not have.
func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   limits.MaxCBORNesting,
		MaxArrayElements:  limits.MaxTasksPerJob * 2,
		IndefLength:       cbor.IndefLengthAllowed,
		TagsMd:            cbor.TagsForbidden,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Encode returns the CBOR encoding of a message or record. It panics if v cannot be encoded, which no
// type of this module causes.
func Encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return b
}

// Decode decodes a message or record into the value that v points to. All of b must be one CBOR
// value; bytes after it are an error. Unknown fields are ignored.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("cbor: %w", err)
	}
	return nil
}
