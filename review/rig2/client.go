package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// sentTimes holds when each request was sent, by request ID.
var sentTimes sync.Map

// sentAt returns when a request was sent, the zero time for an unknown one.
func sentAt(id string) time.Time {
	sent, _ := sentTimes.Load(id)
	at, _ := sent.(time.Time)
	return at
}

// Client is a client of the platform with one connection that it keeps for many requests.
type Client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// served is the number of answers on the connection.
	served int
}

// Outcome is how a request ended.
type Outcome struct {
	ID string
	// Status is 0 when the connection ended without an answer.
	Status int
	Body   string
	Stamp  string
	// Kept is set when the connection had served a request before.
	Kept bool
	Err  error
}

// clientPatience is added to the deadline of a request before the client gives up.
const clientPatience = time.Second

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request with a body and waits for its answer.
func (c *Client) send(method, host, target string, body []byte, deadline time.Duration) Outcome {
	o := Outcome{ID: newID()}
	if o.Err = c.connect(); o.Err != nil {
		return o
	}
	o.Kept = c.served > 0
	_ = c.conn.SetDeadline(time.Now().Add(deadline + clientPatience))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		method, target, host, headerRequestID, o.ID, headerDeadline, deadline.Milliseconds(), len(body))
	sentTimes.Store(o.ID, time.Now())
	if _, err := c.conn.Write(append([]byte(head), body...)); err != nil {
		o.Err = err
		c.close()
		return o
	}
	if o.Err = c.readAnswer(&o, method); o.Err != nil {
		c.close()
	}
	return o
}

// connect opens a connection unless there is one.
func (c *Client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return fmt.Errorf("no connection: %w", err)
	}
	c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	return nil
}

// errClosing reports an answer after which the connection ends.
var errClosing = errors.New("the answer closes the connection")

// readAnswer reads the next answer of the connection. With errClosing the answer is complete.
func (c *Client) readAnswer(o *Outcome, method string) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Join(err, errors.New("answer ended early"))
	}
	o.Status, o.Body, o.Stamp = response.StatusCode, string(data), response.Header.Get(headerStamp)
	c.served++
	if response.Close {
		return errClosing
	}
	return nil
}

// pipeline sends several safe requests at once and returns how each of them ended.
func (c *Client) pipeline(host, target string, depth int, deadline time.Duration) []Outcome {
	outcomes := make([]Outcome, depth)
	var heads string
	for i := range outcomes {
		outcomes[i].ID = newID()
		heads += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
			target, host, headerRequestID, outcomes[i].ID, headerDeadline, deadline.Milliseconds())
	}
	err := c.connect()
	if err == nil {
		_ = c.conn.SetDeadline(time.Now().Add(deadline + clientPatience))
		_, err = io.WriteString(c.conn, heads)
	}
	for i := range outcomes {
		outcomes[i].Kept = c.served > 0
		if err == nil {
			err = c.readAnswer(&outcomes[i], http.MethodGet)
		}
		if outcomes[i].Status == 0 {
			outcomes[i].Err = err
		}
	}
	if err != nil {
		c.close()
	}
	return outcomes
}

func (c *Client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
