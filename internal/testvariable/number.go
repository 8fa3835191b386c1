// Package testvariable reads the environment variables that choose the sizes and seeds of tests.
package testvariable

import (
	"os"
	"strconv"
	"testing"
)

// Positive returns the positive number in an environment variable, or the default if the variable is not set. Any
// other value fails the test.
func Positive(t testing.TB, name string, byDefault int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return byDefault
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 1 {
		t.Fatalf("%s=%s: must be a positive number", name, text)
	}
	return number
}
