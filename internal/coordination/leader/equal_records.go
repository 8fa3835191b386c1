package leader

import (
	"reflect"

	"quillshunt/internal/protocol"
)

// equalRecords reports whether two encoded records have the same content. The bytes may differ, as the
// state service may encode numbers differently, for example an integer as a float.
func equalRecords(a, b protocol.Raw) bool {
	var x, y any
	if protocol.Decode(a, &x) != nil || protocol.Decode(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(wholeNumbersToFloat(x), wholeNumbersToFloat(y))
}

// wholeNumbersToFloat converts all integers in a decoded value to float64, also nested ones.
func wholeNumbersToFloat(v any) any {
	switch v := v.(type) {
	case uint64:
		return float64(v)
	case int64:
		return float64(v)
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = wholeNumbersToFloat(v[i])
		}
		return out
	case map[any]any:
		out := make(map[any]any, len(v))
		for k, e := range v {
			out[k] = wholeNumbersToFloat(e)
		}
		return out
	}
	return v
}
