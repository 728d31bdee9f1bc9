//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silencedCallers is the number of callers whose connections are silenced in the middle
	// of an upload, and silence is how long.
	silencedCallers = 40
	silence         = 8 * time.Second
	// uploadBytes is the length of an upload, and sentFirst how much of it is sent before the
	// silence.
	uploadBytes = 20 << 10
	sentFirst   = 4 << 10
	// uploadDeadline is how long callers wait for an answer.
	uploadDeadline = 4 * time.Second
	// answerSlack is the time after the route's timeout by which there must be an answer.
	answerSlack = 500 * time.Millisecond
	// fewSlots is the number of slots of a target, as at crest-intake.
	fewSlots = 3
)

func init() {
	cases["silenced"] = silencedCase
}

// silencedCase: the connections of some callers are silenced for seconds, in the direction to
// the host, while they upload. Do these callers get an answer when the time of the route is
// over, and are other callers served meanwhile?
func silencedCase(w *world) (bool, error) {
	var ran atomic.Int64
	w.slots = fewSlots
	for i := range 6 {
		if err := w.startTarget(fmt.Sprintf("i-%d", i), i%2, func(*http.Request) { ran.Add(1) }); err != nil {
			return false, err
		}
	}
	w.putConfig(12, nil)
	a, err := w.newHost("a", 0, w.address)
	if err != nil {
		return false, err
	}
	if err := a.start(); err != nil {
		return false, err
	}
	if err := waitReady(a); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	w.callOthers(a, "before", 4, nil)
	var answered, unanswered atomic.Int64
	var uploading sync.WaitGroup
	for i := range silencedCallers {
		uploading.Go(func() {
			id := fmt.Sprintf("up%d", i)
			result, took := w.upload(a.callers, id)
			w.logf("upload %s: %s after %.3f s", id, result, took.Seconds())
			if result == "no answer" || took > routeTimeout+answerSlack {
				unanswered.Add(1)
				return
			}
			answered.Add(1)
		})
	}
	time.Sleep(routeTimeout + answerSlack)
	over := make(chan struct{})
	go func() {
		uploading.Wait()
		close(over)
	}()
	w.callOthers(a, "meanwhile", 40, over)
	<-over
	time.Sleep(time.Second)
	w.callOthers(a, "after", 4, nil)
	w.logf("uploads: %d, answered by %v after the route's timeout: %d, not answered by then: %d; requests that targets have run: %d",
		silencedCallers, answerSlack, answered.Load(), unanswered.Load(), ran.Load())
	return unanswered.Load() < 8 || unanswered.Load()*4 <= silencedCallers, nil
}

// callOthers sends up to n requests of other callers, one after the other, until over is
// closed.
func (w *world) callOthers(h *host, when string, n int, over <-chan struct{}) {
	results := make(map[string]int)
	for i := range n {
		status, err := get(h.callers, fmt.Sprintf("/look/%s%d", when, i), fmt.Sprintf("%s%d", when, i))
		if err != nil {
			status = err.Error()
		}
		results[status]++
		select {
		case <-over:
			n = 0
		case <-time.After(100 * time.Millisecond):
		}
		if n == 0 {
			break
		}
	}
	w.logf("other callers, %s: %v", when, results)
}

// upload sends an upload and returns its result and how long that took. With trouble, nothing
// reaches the host for the time of the silence after the first part: neither the rest of the
// body nor, when the caller has given up, the end of the connection.
func (w *world) upload(address, id string) (string, time.Duration) {
	c, err := dial(address)
	if err != nil {
		return err.Error(), 0
	}
	defer func() { _ = c.Close() }()
	begin := time.Now()
	if _, err := fmt.Fprintf(c, "POST /order/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, routeHost, id, uploadDeadline.Milliseconds(), uploadBytes); err != nil {
		return err.Error(), 0
	}
	_, _ = c.Write(make([]byte, sentFirst))
	if !w.trouble {
		_, _ = c.Write(make([]byte, uploadBytes-sentFirst))
	}
	_ = c.SetReadDeadline(begin.Add(uploadDeadline))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	took := time.Since(begin)
	result := "no answer"
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		result = resp.Status
	}
	if w.trouble {
		time.Sleep(time.Until(begin.Add(silence)))
	}
	return result, took
}
