package gateway

import (
	"strings"
)

type userAction uint8

const (
	actionSubmit userAction = iota
	actionShow
	actionCancel
)

// route finds the method and action of a users' path.
func route(path string) (method, id string, a userAction, ok bool) {
	rest, ok := strings.CutPrefix(path, "/v2/runs")
	if !ok {
		return "", "", 0, false
	}
	if rest == "" {
		return "POST", "", actionSubmit, true
	}
	if rest[0] != '/' {
		return "", "", 0, false
	}
	id, verb, more := strings.Cut(rest[1:], "/")
	switch {
	case id == "":
		return "", "", 0, false
	case !more:
		return "GET", id, actionShow, true
	case verb == "cancel":
		return "POST", id, actionCancel, true
	}
	return "", "", 0, false
}
