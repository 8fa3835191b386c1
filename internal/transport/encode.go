package transport

import (
	"net/http"
	"strconv"
)

// reasonPhrases are the reason phrases of the status codes that the servers send.
var reasonPhrases = map[int]string{
	http.StatusOK:                  "OK",
	http.StatusCreated:             "Created",
	http.StatusBadRequest:          "Bad Request",
	http.StatusNotFound:            "Not Found",
	http.StatusMethodNotAllowed:    "Method Not Allowed",
	http.StatusConflict:            "Conflict",
	http.StatusMisdirectedRequest:  "Misdirected Request",
	http.StatusUnprocessableEntity: "Unprocessable Content",
	http.StatusTooManyRequests:     "Too Many Requests",
	http.StatusInternalServerError: "Internal Server Error",
	http.StatusServiceUnavailable:  "Service Unavailable",
}

// AppendRequest appends an encoded request to dst. The body, if any, is CBOR.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if body != nil || method != http.MethodGet {
		if len(body) > 0 {
			dst = append(dst, "\r\nContent-Type: application/cbor"...)
		}
		dst = append(dst, "\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// AppendResponse appends an encoded response to dst. The body, if any, is CBOR. A retryAfter above 0 is
// sent as a Retry-After header, in seconds. With closeAfter, the Connection header announces that the
// server closes the connection after the response.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closeAfter bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrases[status]...)
	if len(body) > 0 {
		dst = append(dst, "\r\nContent-Type: application/cbor"...)
	}
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfter), 10)
	}
	if closeAfter {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
