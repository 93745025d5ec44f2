package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/result"
)

// startRaw answers each connection's first request with the text, in which ATTEMPT is
// replaced, and then calls end.
func startRaw(t *testing.T, answer string, readAll bool, end func(net.Conn)) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				q, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if readAll {
					_, _ = io.Copy(io.Discard, q.Body) // A failed read shows in the answer.
				}
				_, _ = fmt.Fprint(conn, strings.ReplaceAll(answer, "ATTEMPT", q.Header.Get(HeaderAttempt)))
				end(conn)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestInvalidStatusTakenForAnswer sends answers whose status HTTP does not define.
func TestInvalidStatusTakenForAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		url := startRaw(t, "HTTP/1.1 "+status+" Odd\r\n"+HeaderAttempt+": ATTEMPT\r\nContent-Length: 2\r\n\r\nok", true, func(net.Conn) {})
		c := newTestClient(t)
		if a, err := c.CallService(t.Context(), ServiceCall{
			Service: "s", Endpoint: config.ServiceEndpoint{URL: url}, Method: "POST", Path: "/x", Body: []byte("b"), AttemptID: "a1",
		}); err == nil {
			t.Errorf("service, status %s: an answer with status %d", status, a.Status)
		} else if result.CodeOf(err) != result.StreamCut {
			t.Errorf("service, status %s: %v", status, err)
		}
		if _, err := c.Complete(t.Context(), testCall(url)); err == nil {
			t.Errorf("completion, status %s: an answer", status)
		}
		if _, err := c.Stream(t.Context(), testCall(url)); err == nil {
			t.Errorf("stream, status %s: an answer", status)
		}
	}
}

// TestSwitchedProtocolStallsCall sends a 101 that nobody asked for and stays silent.
func TestSwitchedProtocolStallsCall(t *testing.T) {
	head := "HTTP/1.1 101 Odd\r\n" + HeaderAttempt + ": ATTEMPT\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
	url := startRaw(t, head, true, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	c := newTestClient(t)
	ended := make(chan error, 2)
	go func() {
		_, err := c.Complete(t.Context(), testCall(url))
		ended <- err
		_, err = c.Stream(t.Context(), testCall(url))
		ended <- err
	}()
	for range 2 {
		select {
		case err := <-ended:
			expectFailure(t, err, result.UpstreamError, result.Ran)
		case <-time.After(10 * time.Second):
			t.Fatal("the call does not end")
		}
	}
}

// TestResetAnswerTakenForWhole resets answers without a length during the upload.
func TestResetAnswerTakenForWhole(t *testing.T) {
	reset := func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }
	upload := []byte(strings.Repeat("u", 16<<20))
	head := "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ATTEMPT\r\nContent-Type: "
	for range 40 {
		c := newTestClient(t)
		url := startRaw(t, head+"application/json\r\n\r\n"+`{"choices":[{"message":{"content":"x"}}]`, false, reset)
		call := testCall(url)
		call.Body = upload
		if _, err := c.Complete(t.Context(), call); err == nil {
			t.Error("completion: the first part is taken for the answer")
		}
		if _, err := c.CallService(t.Context(), ServiceCall{
			Service: "s", Endpoint: config.ServiceEndpoint{URL: url}, Method: "POST", Path: "/x", Body: upload, AttemptID: "a1",
		}); err == nil {
			t.Error("service: the first part is taken for the answer")
		}
		call = testCall(startRaw(t, head+"text/event-stream\r\n\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n", false, reset))
		call.Body = upload
		s, err := c.Stream(t.Context(), call)
		if err != nil {
			continue
		}
		if _, err := readStream(s); err == nil || err == ErrEnd {
			t.Error("stream: the first part is taken for the answer")
		}
		_ = s.Close()
	}
}
