package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// readJob reads the description of a job, a JSON object, from the file at path, or from stdin if path is
// "-".
func readJob(stdin io.Reader, path string) (map[string]any, error) {
	input := stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		input = file
	}
	var job map[string]any
	decoder := json.NewDecoder(input)
	decoder.UseNumber()
	if err := decoder.Decode(&job); err != nil {
		return nil, fmt.Errorf("%s: not a JSON object: %w", path, err)
	}
	convertNumbers(job)
	return job, nil
}

// convertNumbers replaces each json.Number in an object by an int64 if it is a whole number, and by a
// float64 otherwise, because the protocol distinguishes integers from floating-point numbers. It does not
// descend into nested objects.
func convertNumbers(object map[string]any) {
	for key, value := range object {
		number, ok := value.(json.Number)
		if !ok {
			continue
		}
		if n, err := number.Int64(); err == nil {
			object[key] = n
		} else if x, err := number.Float64(); err == nil {
			object[key] = x
		}
	}
}
