package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func readBody(r *http.Request) []byte {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	return body
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func answer(w http.ResponseWriter, status int, body any) {
	if body == nil {
		w.WriteHeader(status)
		return
	}
	b := encode(body)
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// call sends one request of a user and returns the status, or 0 if there is no answer in time.
func call(method, address, path string, body []byte, patience time.Duration) (status int, reply map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	client := http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	_ = cbor.Unmarshal(b, &reply)
	return response.StatusCode, reply
}

// Ports of controllers and stand-ins are below those that the system gives to outgoing connections, so that nothing
// takes the port of a controller before it listens.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

var nextPort = os.Getpid() * 97

// listen returns a listener on a port of the loopback that is free and was not returned before.
func listen() (net.Listener, error) {
	for range lastPort - firstPort {
		nextPort++
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%(lastPort-firstPort)))
		if err == nil {
			return ln, nil
		}
	}
	return nil, errors.New("no port is free")
}

// freeAddress returns an address on which nothing listens.
func freeAddress() (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
