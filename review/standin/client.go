package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// outcome is what a client saw of one request.
type outcome struct {
	id      string
	sent    time.Time
	ended   time.Time
	status  int
	signed  bool
	body    string
	err     error
	closing bool
}

// connection is a client's connection to one node.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn, bufio.NewReader(conn)}, nil
}

// request is one attempt of a client.
type request struct {
	id, method, path, key string
	deadline              time.Duration
	headers               string
	body                  []byte
}

// do sends a request on the connection and reads the answer within the
// deadline.
func (c *connection) do(q request) outcome {
	o := outcome{id: q.id, sent: time.Now()}
	defer func() { o.ended = time.Now() }()
	_ = c.conn.SetDeadline(o.sent.Add(q.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		q.method, q.path, host, q.id, q.deadline.Milliseconds(), q.key, q.headers, len(q.body))
	if _, o.err = io.WriteString(c.conn, head); o.err != nil {
		return o
	}
	if _, o.err = c.conn.Write(q.body); o.err != nil {
		return o
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		o.err = err
		return o
	}
	defer answer.Body.Close()
	o.status, o.signed, o.closing = answer.StatusCode, answer.Header.Get("Response-Stamp") != "", answer.Close
	raw, err := io.ReadAll(answer.Body)
	o.body, o.err = string(raw), err
	return o
}

// pieces is the number of whole events in a body.
func pieces(body string) int { return strings.Count(body, "\n\n") }

// resolve asks a node's directory for addresses.
func resolve(directory, zone string) (addresses []string, ttl time.Duration, err error) {
	client := &http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + directory + "/-/resolve?name=" + host + "&region=" + regions[zone] + "&zone=" + zone)
	if err != nil {
		return nil, 0, err
	}
	defer r.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"address-ttl-s"`
	}
	err = json.NewDecoder(r.Body).Decode(&body)
	return body.Addresses, time.Duration(body.TTL * float64(time.Second)), err
}
