package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quillshunt/internal/limits"
)

// Raw is an encoded CBOR value that is decoded later.
type Raw = cbor.RawMessage

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// newEncMode returns the encoding mode of messages. Nil slices are encoded as empty lists, because other
// programs do not expect null there.
func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{NilContainers: cbor.NilContainerAsEmpty}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// newDecMode returns the decoding mode of messages. It limits how much memory a message can make the
// decoder allocate, and rejects duplicate keys and CBOR tags, which the protocol does not use.
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

// Encode returns the CBOR encoding of a message or record. It panics if v cannot be encoded, which does
// not happen for the types of this module.
func Encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return b
}

// Decode decodes a message or record into the value that v points to. It returns an error unless b is
// exactly one CBOR value. Unknown fields are ignored.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("cbor: %w", err)
	}
	return nil
}
