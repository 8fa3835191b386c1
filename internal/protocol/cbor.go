// Package protocol holds the messages of the four interfaces: users, workers,
// the cloud and the state service, with their checks. Bodies are CBOR maps with
// text keys.
package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quillshunt/internal/limits"
)

var (
	encMode cbor.EncMode
	decMode cbor.DecMode
)

func init() {
	var err error
	if encMode, err = (cbor.EncOptions{NilContainers: cbor.NilContainerAsEmpty}).EncMode(); err != nil {
		panic(err) // constant options
	}
	decMode, err = cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   limits.MaxCBORNesting,
		MaxArrayElements:  limits.MaxTasksPerJob * 2,
		IndefLength:       cbor.IndefLengthAllowed,
		TagsMd:            cbor.TagsForbidden,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode()
	if err != nil {
		panic(err)
	}
}

// Encode writes a message. Messages are our own structs, which always encode.
func Encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return b
}

// Decode reads a whole message; bytes after it are an error. Unknown fields are ignored.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("cbor: %w", err)
	}
	return nil
}

// Raw is a value that is decoded later.
type Raw = cbor.RawMessage
