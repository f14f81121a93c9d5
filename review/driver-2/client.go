package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientKey is an API key of the configuration's only tenant.
const (
	clientKey  = "n2ctnfzs989anu6wsjnb"
	clientHost = "ficu95.example"
)

// answer is what a client received for one attempt.
type answer struct {
	status int
	signed bool
	body   string
	// closed is set if the connection ended without a complete answer.
	closed bool
	err    error
}

// conn is a client's connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*conn, error) {
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{raw, bufio.NewReader(raw)}, nil
}

// send writes one request with a body of some bytes.
func (c *conn) send(method, uri, id string, deadline time.Duration, body []byte, header ...string) error {
	_ = c.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, uri, clientHost, id, deadline.Milliseconds(), clientKey)
	for _, line := range header {
		head += line + "\r\n"
	}
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return err
	}
	_, err := c.Write(body)
	return err
}

// receive reads the answer to a request.
func (c *conn) receive(method string) answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{closed: !isTimeout(err), err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode,
		signed: response.Header.Get("X-Response-Signature") != "",
		body:   string(body),
		closed: err != nil && !isTimeout(err),
		err:    err,
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
