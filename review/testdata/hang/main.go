// Command hang plays a case of forgotten: the controllers stand still for some seconds, the load balancer
// resets the users' connections to them, and from then on no controller answers anybody.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/review/testdata/rig"
)

const (
	job       = "job-000001"
	perNode   = 150              // open connections of users at each controller
	forgotten = 75 * time.Second // without an answer, once all troubles are over
)

// balancer is the part of the load balancer that matters here: it probes the nodes, and resets the open
// connections of a node that has been unhealthy for 5 s.
type balancer struct {
	d  *rig.Deployment
	mu sync.Mutex

	conns    map[string][]net.Conn // users' connections by node
	resetAll map[string]bool       // the connections of the node were reset
}

// probe probes a node about once a second and resets its connections when that is due.
func (b *balancer) probe(node string) {
	failures := 0
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; ; time.Sleep(time.Second) {
		response, err := client.Get("http://" + b.d.Fleet.Controllers[node] + "/healthz")
		if err == nil {
			response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			failures = 0
			continue
		}
		failures++
		b.d.Record.Logf("balancer: probe of %s failed", node)
		if failures == 2 {
			go func() {
				time.Sleep(5 * time.Second)
				b.reset(node)
			}()
		}
	}
}

func (b *balancer) reset(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.resetAll[node] {
		return
	}
	b.resetAll[node] = true
	for _, c := range b.conns[node] {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	b.d.Record.Logf("TROUBLE balancer resets %d connections to %s, unhealthy for 5 s", len(b.conns[node]), node)
}

func (b *balancer) hasReset() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.resetAll) == len(b.d.Nodes)
}

// connect opens the users' connections and asks about the job once on each.
func (b *balancer) connect() error {
	for _, node := range b.d.Nodes {
		for range perNode {
			c, err := net.Dial("tcp", b.d.Fleet.Controllers[node])
			if err != nil {
				return err
			}
			b.conns[node] = append(b.conns[node], c)
			if err := send(c); err != nil {
				return err
			}
			if err := receive(c, 5*time.Second); err != nil {
				return err
			}
		}
	}
	return nil
}

func send(c net.Conn) error {
	_, err := c.Write([]byte("GET /v2/runs/" + job + " HTTP/1.1\r\nHost: quillshunt\r\n\r\n"))
	return err
}

func receive(c net.Conn, limit time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := c.Read(make([]byte, 4096))
	return err
}

// ask asks about the job on all connections at the same time.
func (b *balancer) ask() {
	for _, node := range b.d.Nodes {
		for _, c := range b.conns[node] {
			_ = send(c)
		}
		b.d.Record.Logf("users: %d questions about %s to %s", len(b.conns[node]), job, node)
	}
}

func main() {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := rig.NewDeployment(record)
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(2)
	}
	d.Cloud.SetCapacity("jongno", 1)
	if !rig.Await(20*time.Second, func() bool { n, _ := d.Leader(); return n != "" }) {
		d.Unable("no leader")
	}
	spec := protocol.Spec{
		ID: job, Class: "roll-merge", Team: "rolls-team", Shape: protocol.ShapeArray, Priority: "standard",
		Tasks: 1, CPUs: 8, MemoryGB: 15, Image: "rolls", ImageGB: 0.1, EstimateS: 300,
	}
	time.Sleep(time.Second)
	if !d.Submit("rig-0", spec) {
		d.Unable("submission not accepted")
	}
	if !rig.Await(30*time.Second, func() bool { return len(d.Fleet.On(job+"/0")) == 1 }) {
		d.Unable("task not started")
	}
	b := &balancer{d: d, conns: map[string][]net.Conn{}, resetAll: map[string]bool{}}
	if err := b.connect(); err != nil {
		d.Unable(err.Error())
	}
	for _, node := range d.Nodes {
		go b.probe(node)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, node := range d.Nodes {
			d.Signal(node, syscall.SIGSTOP)
		}
		time.Sleep(6500 * time.Millisecond)
	}
	b.ask()
	if trouble {
		if !rig.Await(5*time.Second, b.hasReset) {
			d.Unable("connections not reset")
		}
		time.Sleep(200 * time.Millisecond)
		for _, node := range d.Nodes {
			d.Signal(node, syscall.SIGCONT)
		}
	}
	// All troubles are over. Users go on asking about the job, on new connections to all controllers.
	over := time.Now()
	for time.Since(over) < forgotten {
		time.Sleep(2 * time.Second)
		for _, node := range d.Nodes {
			if answered(d, node) {
				record.Logf("%s has answered %.1f s after the troubles", node, time.Since(over).Seconds())
				d.Finish()
			}
		}
	}
	d.Fleet.Break(fmt.Sprintf("forgotten: no question about %s was answered for %.0f s after the troubles; all %d controller processes are there",
		job, time.Since(over).Seconds(), len(d.Nodes)))
	d.Finish()
}

// answered asks one controller about the job and waits 2 s for the answer.
func answered(d *rig.Deployment, node string) bool {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.Fleet.Controllers[node] + "/v2/runs/" + job)
	if err != nil {
		d.Record.Logf("user: question about %s to %s: no answer", job, node)
		return false
	}
	defer response.Body.Close()
	d.Record.Logf("user: question about %s to %s: %d", job, node, response.StatusCode)
	return true
}
