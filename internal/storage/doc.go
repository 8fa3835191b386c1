// Package storage is the project's side of the state service: its calls within
// the shared rate, and the records kept there.
package storage
